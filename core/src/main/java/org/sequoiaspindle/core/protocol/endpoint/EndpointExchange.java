package org.sequoiaspindle.core.protocol.endpoint;

import java.util.concurrent.CompletionStage;

/**
 * A call in progress.
 *
 * @param result completes once with the verdict on the call
 * @param cancellation gives up the call and closes its connection; the result then completes too
 */
public record EndpointExchange(CompletionStage<CallResult> result, Runnable cancellation) {

    public void cancel() {
        cancellation.run();
    }
}
