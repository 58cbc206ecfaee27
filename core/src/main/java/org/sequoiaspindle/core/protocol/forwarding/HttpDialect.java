package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.control.Either;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;

/**
 * Mapping between the internal types and the HTTP header fields used by clients and replicas.
 *
 * @param requestReader reads the head of a client's request
 * @param replicaRequestWriter sets the header fields that the system adds to a request to a replica
 * @param responseReader reads the head of a replica's response
 * @param reservedFields lower-case names of the fields that only the system may set and that are
 *     dropped from client requests
 * @param readinessPath path at which the platform checks whether the instance is ready
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
         * Reads a request head.
         *
         * @param target path and query
         * @param field returns the value of a header field, empty if the field is missing
         * @return the metadata, or a description of the error in the head
         */
        Either<String, RequestMetadata> read(
                String target, Function<String, Optional<String>> field);
    }

    /** Sets the header fields that the system adds to a request to a replica. */
    @FunctionalInterface
    public interface ReplicaRequestWriter {

        void write(ReplicaRequestContext request, BiConsumer<String, String> setField);
    }

    /** Reads the head of a replica's response. */
    @FunctionalInterface
    public interface ResponseReader {

        ReplicaResponseHead read(int status, Function<String, Optional<String>> field);
    }
}
