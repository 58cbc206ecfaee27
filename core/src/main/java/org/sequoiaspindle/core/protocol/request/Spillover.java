package org.sequoiaspindle.core.protocol.request;

import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import org.sequoiaspindle.core.coordination.routing.RoutingDecision.RefusalCause;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;

/**
 * Forwards stages that this data centre cannot run to another data centre.
 *
 * @param targetSelector chooses an instance of another data centre
 * @param forwarder sends the call to that instance; the endpoint field of the call holds the name
 *     of the endpoint group
 */
public record Spillover(TargetSelector targetSelector, EndpointCaller forwarder) {

    /** Never forwards; refused stages fail. */
    public static final Spillover NONE =
            new Spillover(
                    (group, cause) -> Option.none(),
                    (call, sink) ->
                            new EndpointExchange(
                                    CompletableFuture.completedStage(
                                            new CallResult.NotSent(
                                                    "no other data centre is configured")),
                                    () -> {}));

    /** Chooses the instance that runs a refused stage. Thread-safe. */
    @FunctionalInterface
    public interface TargetSelector {

        /**
         * Returns the peer address of the instance that a stage of the group is forwarded to, or
         * none if the stage stays refused.
         */
        Option<String> select(String group, RefusalCause cause);
    }
}
