package org.sequoiaspindle.core.protocol.forwarding;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import java.util.Optional;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/** Keys under which an instance holds the role of the issuer for a replica. */
final class IssuerKeys {

    static final String PREFIX = "sequoiaspindle/issuers/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Value of a key.
     *
     * @param instance name of the issuer
     * @param process unique name of the process, since an instance may restart under its name
     * @param claim unique name of the write
     */
    record Holder(String instance, String process, String claim) {}

    private IssuerKeys() {}

    static String key(String replica) {
        return PREFIX + CrashEvidenceKeys.safeName(replica);
    }

    static StoreValue encode(Holder holder) {
        try {
            return StoreValue.of(
                    MAPPER.writeValueAsBytes(
                            MAPPER.createObjectNode()
                                    .put("instance", holder.instance())
                                    .put("process", holder.process())
                                    .put("claim", holder.claim())));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialise a JSON tree", e);
        }
    }

    /** Returns the holder, or empty for another format. */
    static Optional<Holder> decode(StoreChange.Written item) {
        return Try.of(() -> MAPPER.readTree(item.value().bytes()))
                .toJavaOptional()
                .filter(node -> node.path("instance").isTextual())
                .map(
                        node ->
                                new Holder(
                                        node.path("instance").asText(),
                                        node.path("process").asText(),
                                        node.path("claim").asText()));
    }
}
