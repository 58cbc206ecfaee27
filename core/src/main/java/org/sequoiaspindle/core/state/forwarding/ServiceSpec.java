package org.sequoiaspindle.core.state.forwarding;

import java.util.Optional;

/**
 * A service that receives forwarded requests or computes pieces of stages.
 *
 * @param maxConnections maximum number of connections that a replica accepts from all callers
 * @param batch present if the service computes pieces of stages
 * @param runsLanguageModel whether the replicas run language models, which batch requests
 *     themselves
 */
public record ServiceSpec(
        String name, int maxConnections, Optional<BatchSpec> batch, boolean runsLanguageModel) {}
