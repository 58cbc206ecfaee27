package org.sequoiaspindle.core.state.forwarding;

import java.util.Optional;

/**
 * A service that receives forwarded requests or computes pieces of stages.
 *
 * @param maxConnections maximum number of connections that a replica accepts from all callers
 * @param batch present if the service computes pieces of stages
 * @param runsLanguageModel whether the replicas run language models, which batch requests
 *     themselves
 * @param cold present if the replicas are cold for some time after their start
 */
public record ServiceSpec(
        String name,
        int maxConnections,
        Optional<BatchSpec> batch,
        boolean runsLanguageModel,
        Optional<ColdSpec> cold) {

    /** Creates a service whose replicas are never cold. */
    public ServiceSpec(
            String name, int maxConnections, Optional<BatchSpec> batch, boolean runsLanguageModel) {
        this(name, maxConnections, batch, runsLanguageModel, Optional.empty());
    }
}
