package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.membership.Contact;
import org.sequoiaspindle.core.coordination.membership.PeerReport;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCall;
import org.sequoiaspindle.core.protocol.endpoint.Token;
import org.sequoiaspindle.core.protocol.publication.Head;

/**
 * A message between two instances. Requests and their replies share a correlation number, which the
 * asking side chooses and which is unique among its requests on the link.
 */
public sealed interface PeerMessage {

    /** Whether the message belongs to a forwarded call, as opposed to control. */
    default boolean isForwarded() {
        return this instanceof Forward
                || this instanceof ForwardToken
                || this instanceof ForwardResult
                || this instanceof Cancel;
    }

    /**
     * Opens a link. The dialling side sends it first.
     *
     * @param version version of the link protocol, 1
     * @param incarnation wall time at which the sender started, in milliseconds
     * @param nonce random text that the sender uses once, 32 hexadecimal digits
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
     * @param chosen whether the sender's link rule chose the receiver
     * @param leaving addresses of endpoints that the sender knows to be leaving; local peers only
     */
    record Heartbeat(PeerReport report, boolean chosen, Set<String> leaving)
            implements PeerMessage {}

    /** What the sender knows of the instances of its data centre, for another data centre. */
    record Summary(String dataCentre, Vector<Entry> entries) implements PeerMessage {

        /**
         * One instance; fields as in its last heartbeat.
         *
         * @param suspected whether the sender suspects it
         * @param ageMillis how long ago the sender heard it
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

    /** Entry instances in the platform's list, passed on by a watcher to its local peers. */
    record Directory(Vector<Contact> contacts) implements PeerMessage {}

    /** Tells a local peer of a new head at once. */
    record Announce(Head head) implements PeerMessage {}

    /** Asks for the head in force. */
    record FetchHead(long correlation) implements PeerMessage {}

    /** Head in force at the sender, absent if it has none. */
    record HeadReply(long correlation, Option<Head> head) implements PeerMessage {}

    /** Asks for parts by digest. */
    record FetchParts(long correlation, Vector<String> digests) implements PeerMessage {}

    /**
     * Some of the wanted parts, as many as one frame holds. The asking side then asks for the rest,
     * so that at most one frame of parts waits in the buffer of a link.
     *
     * @param parts texts by digest; parts that the sender lacks are left out
     * @param last whether the sender holds none of the parts that are left
     */
    record PartsReply(long correlation, Map<String, String> parts, boolean last)
            implements PeerMessage {}

    /**
     * Asks the peer to run a call on an endpoint of its data centre.
     *
     * @param hops data centres that the call has crossed, this link included
     * @param call the call; its endpoint names the endpoint group
     */
    record Forward(long correlation, int hops, EndpointCall call) implements PeerMessage {}

    /** One token of the answer of a forwarded call. */
    record ForwardToken(long correlation, Token token) implements PeerMessage {}

    /** Verdict on a forwarded call; nothing of the call follows. */
    record ForwardResult(long correlation, CallResult result) implements PeerMessage {}

    /** Gives up a forwarded call. */
    record Cancel(long correlation) implements PeerMessage {}
}
