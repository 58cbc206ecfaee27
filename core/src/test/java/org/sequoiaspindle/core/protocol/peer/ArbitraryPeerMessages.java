package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerAddress;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.EndpointLoadReport;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.SizeClass;

/** Generates arbitrary messages of every type. */
final class ArbitraryPeerMessages {

    // Unpaired surrogates cannot be encoded as UTF-8, so the range ends before the surrogates.
    private static final Arbitrary<String> TEXT =
            Arbitraries.strings().withCharRange('\u0000', '\ud7ff').ofMaxLength(40);
    private static final Arbitrary<Long> LONG = Arbitraries.longs();
    private static final Arbitrary<Integer> INT = Arbitraries.integers();
    private static final Arbitrary<Boolean> FLAG = Arbitraries.of(true, false);
    private static final Arbitrary<String> DIGEST =
            Arbitraries.oneOf(
                    Arbitraries.strings().withChars("0123456789abcdef").ofLength(64), TEXT);

    private ArbitraryPeerMessages() {}

    static Arbitrary<PeerMessage> any() {
        return Arbitraries.oneOf(
                Combinators.combine(INT, TEXT, TEXT, TEXT, LONG, TEXT).as(PeerMessage.Hello::new),
                TEXT.map(PeerMessage.HelloProof::new),
                Combinators.combine(report(), FLAG, vector(TEXT).map(HashSet::ofAll))
                        .as(PeerMessage.Heartbeat::new),
                Combinators.combine(TEXT, vector(entry())).as(PeerMessage.Summary::new),
                vector(Combinators.combine(TEXT, option(TEXT)).as(PeerAddress::new))
                        .map(PeerMessage.Directory::new),
                head().map(PeerMessage.Announce::new),
                LONG.map(PeerMessage.FetchHead::new),
                Combinators.combine(LONG, option(head())).as(PeerMessage.HeadReply::new),
                Combinators.combine(LONG, vector(DIGEST)).as(PeerMessage.FetchParts::new),
                Combinators.combine(LONG, map(TEXT), FLAG).as(PeerMessage.PartsReply::new),
                Combinators.combine(LONG, INT, call()).as(PeerMessage.Forward::new),
                Combinators.combine(LONG, Combinators.combine(LONG, TEXT).as(Token::new))
                        .as(PeerMessage.ForwardToken::new),
                Combinators.combine(LONG, result()).as(PeerMessage.ForwardResult::new),
                LONG.map(PeerMessage.Cancel::new));
    }

    private static Arbitrary<PeerReport> report() {
        Arbitrary<GroupLoad> load = Combinators.combine(INT, INT, INT, INT).as(GroupLoad::new);
        return Combinators.combine(
                        TEXT,
                        TEXT,
                        TEXT,
                        LONG,
                        LONG,
                        LONG,
                        Arbitraries.of(PeerState.class),
                        map(load))
                .as(PeerReport::new);
    }

    private static Arbitrary<PeerMessage.Summary.Entry> entry() {
        return Combinators.combine(
                        TEXT, TEXT, LONG, LONG, LONG, Arbitraries.of(PeerState.class), FLAG, LONG)
                .as(PeerMessage.Summary.Entry::new);
    }

    private static Arbitrary<ConfigurationHead> head() {
        Arbitrary<ConfigurationHead.PartReference> part =
                Combinators.combine(TEXT, INT, DIGEST).as(ConfigurationHead.PartReference::new);
        return Combinators.combine(LONG, TEXT, TEXT, LONG, vector(TEXT), vector(part))
                .as(ConfigurationHead::new);
    }

    static Arbitrary<EndpointCall> call() {
        return Combinators.combine(
                        TEXT.map(RequestId::new),
                        TEXT,
                        INT,
                        TEXT,
                        LONG,
                        Arbitraries.of(SizeClass.class),
                        FLAG)
                .as(
                        (id, text, number, other, position, size, streams) ->
                                new EndpointCall(
                                        id, text, other, number, other, text, other, number,
                                        position, text, size, streams, position, other));
    }

    private static Arbitrary<CallResult> result() {
        Arbitrary<Option<EndpointLoadReport>> load =
                option(Combinators.combine(INT, INT, INT, FLAG).as(EndpointLoadReport::new));
        return Arbitraries.oneOf(
                Combinators.combine(TEXT.map(RequestId::new), INT, TEXT, LONG, load)
                        .as(CallResult.Completed::new),
                TEXT.map(CallResult.NotSent::new),
                Combinators.combine(TEXT, load).as(CallResult.Refused::new),
                Combinators.combine(TEXT, load).as(CallResult.Failed::new),
                TEXT.map(CallResult.Unknown::new));
    }

    private static <T> Arbitrary<Vector<T>> vector(Arbitrary<T> elements) {
        return elements.list().ofMaxSize(5).map(Vector::ofAll);
    }

    private static <T> Arbitrary<Option<T>> option(Arbitrary<T> value) {
        return value.optional().map(Option::ofOptional);
    }

    private static <T> Arbitrary<Map<String, T>> map(Arbitrary<T> values) {
        return Arbitraries.maps(TEXT, values).ofMaxSize(4).map(HashMap::ofAll);
    }
}
