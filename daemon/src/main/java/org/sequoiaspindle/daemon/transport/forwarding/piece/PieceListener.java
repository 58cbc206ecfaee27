package org.sequoiaspindle.daemon.transport.forwarding.piece;

import io.netty.channel.Channel;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.protocol.forwarding.PermitIssuer;
import org.sequoiaspindle.core.protocol.forwarding.PieceExecutor;
import org.sequoiaspindle.core.protocol.forwarding.PieceMessage;
import org.sequoiaspindle.core.protocol.forwarding.PieceResult;
import org.sequoiaspindle.daemon.transport.forwarding.shared.HandleReleaser;
import org.sequoiaspindle.daemon.transport.frame.FrameHandler;

/** Executes the pieces requested by other instances. Thread-safe. */
public final class PieceListener {

    private final PieceExecutor localExecutor;
    private final HandleReleaser releaser;
    private final PermitIssuer permitIssuer;
    private final MillisClock clock;

    /** Numbers of the pending requests, by connection. */
    private final Map<Channel, Set<Long>> pendingNumbersByConnection = new ConcurrentHashMap<>();

    public PieceListener(
            PieceExecutor localExecutor,
            HandleReleaser releaser,
            PermitIssuer permitIssuer,
            MillisClock clock) {
        this.localExecutor = localExecutor;
        this.releaser = releaser;
        this.permitIssuer = permitIssuer;
        this.clock = clock;
    }

    public void install(Channel channel) {
        Set<Long> pendingNumbers = ConcurrentHashMap.newKeySet();
        pendingNumbersByConnection.put(channel, pendingNumbers);
        FrameHandler.install(
                channel,
                PieceFrames.FORMAT,
                (from, message) -> handleMessage(from, pendingNumbers, message),
                closed -> {
                    pendingNumbersByConnection.remove(closed);
                    pendingNumbers.clear();
                });
    }

    private void handleMessage(Channel channel, Set<Long> pendingNumbers, PieceMessage message) {
        if (message instanceof PieceMessage.Ping) {
            PieceFrames.send(channel, new PieceMessage.Pong());
        } else if (message instanceof PieceMessage.Cancel cancel) {
            pendingNumbers.remove(cancel.number());
        } else if (message instanceof PieceMessage.Release release) {
            releaser.release(release.handles());
        } else if (message instanceof PieceMessage.PermitRequest request) {
            PieceFrames.send(
                    channel,
                    new PieceMessage.PermitAnswer(
                            request.number(), permitIssuer.issue(request.replica())));
        } else if (message instanceof PieceMessage.Request request) {
            long number = request.number();
            pendingNumbers.add(number);
            localExecutor
                    .execute(
                            request.piece().withTimesShifted(clock.now()),
                            () -> pendingNumbers.contains(number))
                    .thenAccept(result -> finishRequest(channel, pendingNumbers, number, result));
        }
    }

    private void finishRequest(
            Channel channel, Set<Long> pendingNumbers, long number, PieceResult result) {
        if (pendingNumbers.remove(number)) {
            PieceFrames.send(channel, new PieceMessage.Reply(number, result));
        } else if (result instanceof PieceResult.Completed completed) {
            releaser.release(List.of(completed.handle()));
        }
    }
}
