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
                        .put("port", instance.address().port())
                        .put("processorPercent", instance.processorPercent());
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
     * @return the instance, or empty if the entry has an unknown format or no valid address
     */
    static Optional<InstanceEntry> decode(StoreChange.Written item) {
        return Try.of(() -> MAPPER.readTree(item.value().bytes()))
                .toJavaOptional()
                .filter(entry -> entry.path("dataCentre").isTextual())
                .flatMap(entry -> instance(item.key().substring(PREFIX.length()), entry));
    }

    private static Optional<InstanceEntry> instance(String name, JsonNode entry) {
        return address(entry, "host", "port")
                .map(
                        address ->
                                new InstanceEntry(
                                        name,
                                        entry.path("dataCentre").asText(),
                                        address,
                                        address(entry, "relayHost", "relayPort"),
                                        processorPercent(entry.path("processorPercent"))));
    }

    private static int processorPercent(JsonNode value) {
        return value.isIntegralNumber() && value.canConvertToInt() && value.asInt() > 0
                ? value.asInt()
                : InstanceEntry.DEFAULT_PROCESSOR_PERCENT;
    }

    private static Optional<HostPort> address(JsonNode entry, String hostName, String portName) {
        JsonNode host = entry.path(hostName);
        JsonNode port = entry.path(portName);
        return host.isTextual() && port.isIntegralNumber() && port.canConvertToInt()
                ? HostPort.ofIpv4(host.asText(), port.asInt())
                : Optional.empty();
    }
}
