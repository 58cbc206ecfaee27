package org.sequoiaspindle.core.state;

import io.vavr.collection.Vector;

/**
 * A sequence of stages that are executed in order under one deadline.
 *
 * @param name unique name
 * @param stages names of the stages in order, 1 to 16
 * @param deadlineMs default and maximum deadline of a request, in milliseconds
 * @param organisations organisations that may use the pipeline; empty means all
 */
public record Pipeline(
        String name, Vector<String> stages, int deadlineMs, Vector<String> organisations)
        implements NamedObject {

    /** Returns whether the organisation may use this pipeline. */
    public boolean admits(String organisation) {
        return organisations.isEmpty() || organisations.contains(organisation);
    }
}
