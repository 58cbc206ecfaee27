package org.sequoiaspindle.core.protocol.publication;

import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Request of an operator to publish a complete object set.
 *
 * @param operator name of the authenticated operator
 * @param submissionId identifier chosen by the tool of the operator; a repeated submission is
 *     published at most once
 * @param baseGeneration generation of the configuration from which the object set was derived
 * @param objects the object set
 * @param dryRun whether to check the object set without publishing it
 */
public record PublishRequest(
        String operator,
        String submissionId,
        long baseGeneration,
        ObjectSet objects,
        boolean dryRun) {}
