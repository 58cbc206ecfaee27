package org.sequoiaspindle.cli.state;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationDiff;
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.state.ObjectSet;

/** What a command found out, before it is formatted for people or programs. */
public sealed interface Report {

    /** A sentence. */
    record Message(String text) implements Report {}

    /** Result of checking a file. */
    record Checked(String file, Vector<Problem> problems) implements Report {}

    /** Result of a publication. */
    record Publication(PublishReport report) implements Report {}

    /** Generations in force. */
    record Status(StatusReport report, boolean same) implements Report {}

    /** Objects in force. */
    record Objects(long generation, ObjectSet objects) implements Report {}

    /** What publishing a file would change. */
    record Difference(long generation, String file, ConfigurationDiff diff) implements Report {}

    /**
     * Result of a request.
     *
     * @param report what the instance said at the end, absent if the answer was cut off
     * @param streamed whether the answer was printed while it arrived
     * @param faults violations of the protocol and lost connections
     */
    record Request(Option<RequestReport> report, boolean streamed, Vector<String> faults)
            implements Report {}

    /** A salted hash of a secret. */
    record Hash(String secretHash) implements Report {}

    /** What the logs say of a request. */
    record Explained(Explanation explanation) implements Report {}
}
