package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.core.coordination.routing.Placement.RefusalCause;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;

/**
 * Where stages go that the own data centre refuses.
 *
 * @param targets chooses an instance of another data centre
 * @param forwarder has a stage run by that instance; the endpoint of the call names the group
 */
public record Spillover(Targets targets, EndpointCaller forwarder) {

    /** Refused stages stay refused. */
    public static final Spillover NONE =
            new Spillover(
                    (group, cause) -> Option.none(),
                    (call, sink) ->
                            new EndpointExchange(
                                    CompletableFuture.completedStage(
                                            new CallResult.NotSent("no other data centre")),
                                    () -> {}));

    /** Chooses the instance that runs a refused stage. Thread-safe. */
    @FunctionalInterface
    public interface Targets {

        /** Peer address of the instance, none to refuse the stage. */
        Option<String> target(String group, RefusalCause cause);
    }
}
