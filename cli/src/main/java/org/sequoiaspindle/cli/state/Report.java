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
     * Active generation of each instance.
     *
     * @param sameGeneration whether the same generation is active on all instances
     */
    record Status(StatusReport report, boolean sameGeneration) implements Report {}

    /** Active objects of an instance: all of them, or a selection by kind and name. */
    record Objects(long generation, ObjectSet objects) implements Report {}

    /** Changes that publishing a file would make to the active configuration. */
    record Difference(long generation, String file, ConfigurationDiff diff) implements Report {}

    /**
     * Result of a request.
     *
     * @param report report of the instance, absent if the response has no outcome
     * @param streamed whether the answer has already been printed token by token
     * @param violations protocol violations and lost connections
     */
    record RequestResult(Option<RequestReport> report, boolean streamed, Vector<String> violations)
            implements Report {}

    /** A salted hash of a secret. */
    record HashedSecret(String secretHash) implements Report {}

    /** Explanation of the result of a request, derived from the logs. */
    record Explanation(RequestExplanation explanation) implements Report {}

    /**
     * Numbers of answers besides the answer to the request in progress.
     *
     * @param skippedLines number of lines that could not be parsed
     */
    record StrayAnswers(StrayAnswerCounts counts, long skippedLines) implements Report {}
}
