package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.state.ObjectSet;

/** Report of a command, before it is formatted as text or JSON. */
public sealed interface Report {

    /** A plain message, such as an error. */
    record Message(String text) implements Report {}

    /** Problems found in a file that holds an object set. */
    record FileCheck(String file, Vector<ValidationProblem> problems) implements Report {}

    /** Result of a publication. */
    record Publication(PublishReport report) implements Report {}

    /**
     * Generation in force on each instance.
     *
     * @param sameGeneration whether all instances have the same generation in force
     */
    record Status(StatusReport report, boolean sameGeneration) implements Report {}

    /** Objects in force, all or a selection. */
    record Objects(long generation, ObjectSet objects) implements Report {}

    /** What publishing a file would change. */
    record Difference(long generation, String file, ConfigurationDiff diff) implements Report {}

    /**
     * Result of a request.
     *
     * @param report outcome that the instance reported, absent if the response was incomplete
     * @param streamed whether the answer has already been printed token by token
     * @param faults protocol violations and lost connections
     */
    record RequestResult(Option<RequestReport> report, boolean streamed, Vector<String> faults)
            implements Report {}

    /** A salted hash of a secret. */
    record HashedSecret(String secretHash) implements Report {}

    /** Explanation of a request from the logs. */
    record Explanation(RequestExplanation explanation) implements Report {}
}
