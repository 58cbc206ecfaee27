package org.sequoiaspindle.core.protocol.publication;

import org.sequoiaspindle.core.state.ObjectSet;

/**
 * A whole object set that an operator wants in force.
 *
 * @param operator name of the authenticated operator
 * @param submissionId identifier chosen by the operator's tool; repeating it is safe
 * @param baseGeneration generation that the set was derived from
 * @param objects the set
 * @param dryRun whether to check only
 */
public record PublishRequest(
        String operator,
        String submissionId,
        long baseGeneration,
        ObjectSet objects,
        boolean dryRun) {}
