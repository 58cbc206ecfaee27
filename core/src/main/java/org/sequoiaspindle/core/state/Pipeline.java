package org.sequoiaspindle.core.state;

import io.vavr.collection.Vector;

/**
 * Stages that run in order under one deadline.
 *
 * @param name unique name
 * @param stages names of the stages in order, 1 to 16
 * @param deadlineMs default and upper bound of a request's deadline, in milliseconds
 * @param organisations organisations that may call it; empty means all
 */
public record Pipeline(
        String name, Vector<String> stages, int deadlineMs, Vector<String> organisations)
        implements NamedObject {

    /** Whether the organisation may call this pipeline. */
    public boolean admits(String organisation) {
        return organisations.isEmpty() || organisations.contains(organisation);
    }
}
