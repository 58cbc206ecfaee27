package org.sequoiaspindle.core.protocol.forwarding;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vavr.control.Try;
import java.util.Optional;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/** Encodes and decodes an {@link InstanceEntry} as JSON. */
public final class InstanceEntryCodec {

    /** Prefix of the keys of the instances' entries. */
    public static final String PREFIX = "sequoiaspindle/instances/";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private InstanceEntryCodec() {}

    static String key(InstanceEntry instance) {
        return PREFIX + instance.name();
    }

    static StoreValue encode(InstanceEntry instance) {
        ObjectNode entry =
                MAPPER.createObjectNode()
                        .put("dataCentre", instance.dataCentre())
                        .put("host", instance.address().host())
                        .put("port", instance.address().port());
        instance.relayAddress()
                .ifPresent(
                        relay ->
                                entry.put("relayHost", relay.host())
                                        .put("relayPort", relay.port()));
        try {
            return StoreValue.of(MAPPER.writeValueAsBytes(entry));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot serialise a JSON tree", e);
        }
    }

    /**
     * Decodes an entry.
     *
     * @return the instance, or empty if the entry has an unknown format
     */
    static Optional<InstanceEntry> decode(StoreChange.Written item) {
        Optional<JsonNode> node =
                Try.of(() -> MAPPER.readTree(item.value().bytes())).toJavaOptional();
        return node.filter(
                        entry ->
                                entry.path("dataCentre").isTextual()
                                        && entry.path("host").isTextual()
                                        && entry.path("port").isInt())
                .map(
                        entry ->
                                new InstanceEntry(
                                        item.key().substring(PREFIX.length()),
                                        entry.path("dataCentre").asText(),
                                        new HostPort(
                                                entry.path("host").asText(),
                                                entry.path("port").asInt()),
                                        relayAddress(entry)));
    }

    private static Optional<HostPort> relayAddress(JsonNode entry) {
        return entry.path("relayHost").isTextual() && entry.path("relayPort").isInt()
                ? Optional.of(
                        new HostPort(
                                entry.path("relayHost").asText(), entry.path("relayPort").asInt()))
                : Optional.empty();
    }
}
