package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;

/** Result of a publication. */
public sealed interface PublishResult {

    /** The object set was published under this generation. */
    record Published(long generation) implements PublishResult {}

    /** Result of a dry run: the object set is consistent. Nothing was published. */
    record Checked(long currentGeneration) implements PublishResult {}

    /** The object set is inconsistent; nothing was published. */
    record Invalid(Vector<ValidationProblem> problems) implements PublishResult {}

    /**
     * The base generation is not the current generation, because another submission was published
     * before. Nothing was published.
     */
    record Conflict(long currentGeneration, String operator, String submissionId)
            implements PublishResult {}

    /** Nothing was published, and this attempt can no longer take effect. */
    record NotRun(String reason) implements PublishResult {}

    /**
     * The object set may or may not have been published. Repeat the request with the same
     * submission id to find out.
     */
    record Unknown(String reason) implements PublishResult {}
}
