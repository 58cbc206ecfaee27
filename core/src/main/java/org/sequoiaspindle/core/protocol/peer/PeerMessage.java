package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.membership.PeerAddress;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;

/**
 * A message between two instances. A request and the replies to the request have the same
 * correlation number, which the requesting side chooses. The number is unique among the requests of
 * that side on the link.
 */
public sealed interface PeerMessage {

    /** Returns true if the message belongs to a forwarded call and not to the control traffic. */
    default boolean isForwarded() {
        return this instanceof Forward
                || this instanceof ForwardToken
                || this instanceof ForwardResult
                || this instanceof Cancel;
    }

    /**
     * Opens a link. The dialling side sends its hello first.
     *
     * @param version version of the link protocol, 1
     * @param incarnation wall-clock time at which the sender started, in milliseconds
     * @param nonce random string of 32 hexadecimal digits that the sender uses only once
     */
    record Hello(
            int version,
            String instance,
            String dataCentre,
            String address,
            long incarnation,
            String nonce)
            implements PeerMessage {}

    /** Proves knowledge of the shared secret: HMAC-SHA256 over both hellos, in hexadecimal. */
    record HelloProof(String proof) implements PeerMessage {}

    /**
     * Sent every second on each link.
     *
     * @param needsLink whether the sender needs this link because the link rule of the sender
     *     selected the receiver
     * @param leaving addresses of endpoints that the sender knows to be leaving, empty if the
     *     receiver is in another data centre
     */
    record Heartbeat(PeerReport report, boolean needsLink, Set<String> leaving)
            implements PeerMessage {}

    /** Status of the instances in the data centre of the sender, sent to another data centre. */
    record Summary(String dataCentre, Vector<Entry> entries) implements PeerMessage {

        /**
         * Status of one instance. The fields have the values of the last heartbeat of the instance.
         *
         * @param suspected whether the sender suspects the instance to have failed
         * @param ageMillis time in milliseconds since the sender received that heartbeat
         */
        public record Entry(
                String instance,
                String address,
                long incarnation,
                long sequence,
                long generation,
                PeerState state,
                boolean suspected,
                long ageMillis) {}
    }

    /**
     * Entry instances in the instance list of the platform, sent by a watcher to its local peers.
     */
    record Directory(Vector<PeerAddress> addresses) implements PeerMessage {}

    /** Announces a new head to a local peer. */
    record Announce(ConfigurationHead head) implements PeerMessage {}

    /** Requests the head of the active configuration. */
    record FetchHead(long correlation) implements PeerMessage {}

    /**
     * Head of the active configuration of the sender, absent if the sender has no configuration.
     */
    record HeadReply(long correlation, Option<ConfigurationHead> head) implements PeerMessage {}

    /** Requests parts by digest. */
    record FetchParts(long correlation, Vector<String> digests) implements PeerMessage {}

    /**
     * The requested parts that fit into one frame. The requesting side then requests the remaining
     * parts, so that the send buffer of a link holds at most one frame of parts.
     *
     * @param parts contents by digest, without the parts that the sender does not have
     * @param last whether the sender has none of the remaining parts
     */
    record PartsReply(long correlation, Map<String, String> parts, boolean last)
            implements PeerMessage {}

    /**
     * Requests that the peer runs a call on an endpoint of its data centre.
     *
     * @param hops number of links between data centres that the call has crossed, including this
     *     one
     * @param call the call; the endpoint field of the call holds the name of the endpoint group
     */
    record Forward(long correlation, int hops, EndpointCall call) implements PeerMessage {}

    /** One token of the answer of a forwarded call. */
    record ForwardToken(long correlation, Token token) implements PeerMessage {}

    /** Result of a forwarded call. The last message of the call. */
    record ForwardResult(long correlation, CallResult result) implements PeerMessage {}

    /** Cancels a forwarded call. */
    record Cancel(long correlation) implements PeerMessage {}
}
