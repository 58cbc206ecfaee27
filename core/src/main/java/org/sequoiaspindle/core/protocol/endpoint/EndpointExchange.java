package org.sequoiaspindle.core.protocol.endpoint;

import java.util.concurrent.CompletionStage;

/**
 * A call in flight.
 *
 * @param result completes once, with the result of the call
 * @param cancellation cancels the call and closes its connection; the result also completes
 */
public record EndpointExchange(CompletionStage<CallResult> result, Runnable cancellation) {

    public void cancel() {
        cancellation.run();
    }
}
