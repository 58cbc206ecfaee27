package org.sequoiaspindle.core.protocol.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.Arrays;
import java.util.Map;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;

/**
 * Tests that messages survive encoding and decoding unchanged and that invalid input never makes
 * the reader throw.
 */
final class PeerMessageReaderTest {

    @Provide
    Arbitrary<PeerMessage> messages() {
        return ArbitraryPeerMessages.any();
    }

    @Property(seed = "20261204")
    void anyMessageIsDecodedAsItWasEncoded(@ForAll("messages") PeerMessage message) {
        byte[] frame = PeerMessageWriter.write(message).get();
        assertEquals(Either.right(Option.of(message)), PeerMessageReader.read(frame));
    }

    @Property(seed = "20261204")
    void arbitraryBytesNeverMakeTheReaderThrow(@ForAll byte[] bytes) {
        assertTrue(PeerMessageReader.read(bytes) != null);
    }

    @Property(seed = "20261204")
    void corruptMessagesNeverMakeTheReaderThrow(
            @ForAll("messages") PeerMessage message,
            @ForAll @IntRange(max = 400) int at,
            @ForAll byte replacement,
            @ForAll @IntRange(max = 400) int cut) {
        byte[] frame = PeerMessageWriter.write(message).get();
        byte[] corruptFrame = Arrays.copyOf(frame, Math.max(1, frame.length - cut));
        corruptFrame[at % corruptFrame.length] = replacement;
        assertTrue(PeerMessageReader.read(corruptFrame) != null);
    }

    @Test
    void deeplyNestedInputAndInputWithAFalseLengthAreRejected() {
        byte[] nested = new byte[1 << 20];
        Arrays.fill(nested, (byte) 0x91);
        byte[] falseArray = {(byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        byte[] falseString = {(byte) 0xdb, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
        byte[] manyEmpty = new byte[1 << 20];
        Arrays.fill(manyEmpty, (byte) 0x80);
        System.arraycopy(new byte[] {(byte) 0xdd, 0, 0x0f, 0, 0}, 0, manyEmpty, 0, 5);
        for (byte[] bytes : Vector.of(nested, falseArray, falseString, manyEmpty)) {
            assertTrue(PeerMessageReader.read(bytes).isLeft());
        }
    }

    @Test
    void unknownTypesAndFieldsAreSkipped() {
        byte[] type = MessagePackTree.write(MessageFields.of("t", 999, "x", "y"));
        assertEquals(Either.right(Option.none()), PeerMessageReader.read(type));
        Map<String, Object> extra =
                MessageFields.of("t", 14, "c", 7, "new", MessageFields.of("a", true));
        assertEquals(
                Either.right(Option.of(new PeerMessage.Cancel(7))),
                PeerMessageReader.read(MessagePackTree.write(extra)));
    }

    @Test
    void controlMessagesHaveTheSizesAssumedByTheTrafficBudget() {
        assertEquals(Vector.of(93, 237, 839), Vector.of(0, 10, 50).map(n -> size(heartbeat(n))));
        assertEquals(2612, size(new PeerMessage.Announce(headOfThirtyParts())));
    }

    private static PeerMessage heartbeat(int groups) {
        return new PeerMessage.Heartbeat(
                new PeerReport(
                        "entry-a1b2c3d4",
                        "region1-a",
                        "10.20.30.40:7400",
                        1_780_000_000_000L,
                        100_000,
                        100_000,
                        PeerState.SERVING,
                        HashMap.ofEntries(
                                Vector.range(0, groups)
                                        .map(
                                                i ->
                                                        Tuple.of(
                                                                "group-" + i,
                                                                new GroupLoad(200, 40, 3, 64))))),
                true,
                HashSet.empty());
    }

    private static ConfigurationHead headOfThirtyParts() {
        return new ConfigurationHead(
                100_000,
                "0123456789abcdef0123456789abcdef",
                "operator",
                1_780_000_000_000L,
                Vector.fill(32, () -> "0123456789abcdef0123456789abcdef"),
                Vector.range(0, 30)
                        .map(
                                i ->
                                        new ConfigurationHead.PartReference(
                                                "endpoints", i, "0f".repeat(32))));
    }

    private static int size(PeerMessage message) {
        return PeerMessageWriter.write(message).get().length;
    }
}
