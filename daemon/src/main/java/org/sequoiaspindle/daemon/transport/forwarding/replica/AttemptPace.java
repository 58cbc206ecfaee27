package org.sequoiaspindle.daemon.transport.forwarding.replica;

import org.sequoiaspindle.core.protocol.forwarding.ReplicaResponseHead;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.ForwardingContext;
import org.sequoiaspindle.daemon.transport.forwarding.shared.PaceRecorder;

/**
 * Records what one attempt shows about the pace of its replica. Confined to the event loop of the
 * request.
 */
final class AttemptPace {

    private final ForwardingContext context;
    private final AttemptOwner owner;
    private final Replica replica;
    private long sentAt;
    private boolean isWaiting;

    AttemptPace(ForwardingContext context, AttemptOwner owner, Replica replica) {
        this.context = context;
        this.owner = owner;
        this.replica = replica;
    }

    void sent() {
        sentAt = context.clock().now();
        isWaiting = true;
    }

    /** Records the first bytes of a success; failures are often answered fast. */
    void bytesReceived(ReplicaResponseHead head) {
        if (isWaiting && head.isSuccess()) {
            recorder()
                    .recordFirstByte(
                            replica, route(), promptTokens(), context.clock().now() - sentAt);
        }
        isWaiting = false;
    }

    /** Records the end of a complete answer. */
    void ended(ReplicaResponseHead head) {
        isWaiting = false;
        recorder().recordEnd(replica, head);
    }

    /** Records that there was no connection or no usable answer. */
    void failed() {
        isWaiting = false;
        recorder().recordFailure(replica);
    }

    /** Records how long the caller waited in vain, which may be longer than usual. */
    void aborted() {
        if (isWaiting) {
            recorder().recordWait(replica, route(), promptTokens(), context.clock().now() - sentAt);
        }
    }

    private PaceRecorder recorder() {
        return context.answerRecorder().pace();
    }

    private String route() {
        return owner.admission().route().name();
    }

    private long promptTokens() {
        return owner.request().metadata().promptTokens();
    }
}
