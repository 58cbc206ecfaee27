package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;

/**
 * How clients and replicas express requests and answers in the heads of HTTP messages.
 *
 * @param requestReader reads the head of a client's request
 * @param replicaRequestWriter sets the fields that the system adds to a request for a replica
 * @param responseReader reads the head of a replica's answer
 * @param reservedFields names in lower case of fields that only the system may set; a client's are
 *     dropped
 * @param readinessPath path on which the platform asks whether the instance takes connections
 */
public record HttpDialect(
        RequestReader requestReader,
        ReplicaRequestWriter replicaRequestWriter,
        ResponseReader responseReader,
        Set<String> reservedFields,
        String readinessPath) {

    /** Reads the head of a client's request. */
    @FunctionalInterface
    public interface RequestReader {

        /**
         * Reads a head.
         *
         * @param target path and query
         * @param field gives the only value of a field, empty without one
         * @return the facts, or what is wrong with the head
         */
        Either<String, RequestMetadata> read(
                String target, Function<String, Optional<String>> field);
    }

    /** Sets the fields that the system adds to a request. */
    @FunctionalInterface
    public interface ReplicaRequestWriter {

        void write(ReplicaRequestContext request, BiConsumer<String, String> setField);
    }

    /** Reads the head of a replica's answer. */
    @FunctionalInterface
    public interface ResponseReader {

        ReplicaResponseHead read(int status, Function<String, Optional<String>> field);
    }
}
