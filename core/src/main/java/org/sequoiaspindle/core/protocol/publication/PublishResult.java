package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.Problem;

/** What became of a publication. */
public sealed interface PublishResult {

    /** The set is accepted under the generation. */
    record Published(long generation) implements PublishResult {}

    /** The set is consistent; nothing was published. */
    record Checked(long currentGeneration) implements PublishResult {}

    /** The set is inconsistent; nothing was published. */
    record Invalid(Vector<Problem> problems) implements PublishResult {}

    /** Another submission came first; nothing was published. */
    record Conflict(long currentGeneration, String operator, String submissionId)
            implements PublishResult {}

    /** Nothing was published and nothing will be. */
    record NotRun(String reason) implements PublishResult {}

    /** The set may or may not have been accepted; repeat with the same submission id. */
    record Unknown(String reason) implements PublishResult {}
}
