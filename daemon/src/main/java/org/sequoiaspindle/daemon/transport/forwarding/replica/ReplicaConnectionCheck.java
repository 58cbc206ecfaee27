package org.sequoiaspindle.daemon.transport.forwarding.replica;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.forwarding.CrashReporter;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.daemon.transport.forwarding.shared.EventLoopWorker;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;

/** Checks with an idle or a new connection whether a replica still runs. Thread-safe. */
public final class ReplicaConnectionCheck implements CrashReporter.ReplicaCheck {

    private final EventLoopWorker worker;

    public ReplicaConnectionCheck(EventLoopWorker worker) {
        this.worker = worker;
    }

    @Override
    public CompletionStage<Boolean> isAlive(Replica replica) {
        CompletableFuture<Boolean> alive = new CompletableFuture<>();
        Destination destination = new Destination(replica.address(), replica.id().toString());
        ConnectionPool pool = worker.pool();
        worker.loop()
                .execute(
                        () ->
                                pool.acquire(
                                        destination,
                                        (connection, reason) -> {
                                            if (connection != null) {
                                                pool.release(destination, connection);
                                            }
                                            alive.complete(connection != null);
                                        }));
        return alive;
    }
}
