package org.sequoiaspindle.standins.protocol;

import static org.sequoiaspindle.standins.protocol.Router.exact;
import static org.sequoiaspindle.standins.protocol.Router.underPath;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.sequoiaspindle.standins.coordination.RegistryStore;
import org.sequoiaspindle.standins.state.ImmutableBytes;
import org.sequoiaspindle.standins.state.RegistryChange;

/** HTTP interface of the stand-in for the registry, which is the store of the users' platform. */
public final class RegistryFrontEnd {

    private static final int MAX_ITEMS_PER_PAGE = 500;

    /** Prefix of the keys by which the operator evacuates data centres. */
    private static final String EVACUATION_PREFIX = "op/evacuate/";

    private final RegistryStore store;
    private final AtomicBoolean down = new AtomicBoolean();
    private final AtomicInteger reads = new AtomicInteger();

    public RegistryFrontEnd(RegistryStore store) {
        this.store = store;
    }

    /** Sets whether the connection of every call is closed without executing the call. */
    public void setDown(boolean value) {
        down.set(value);
    }

    /** Returns the number of reads, listings and watches so far. */
    public int readCount() {
        return reads.get();
    }

    /** Evacuates a data centre, as the operator does. */
    public void evacuate(String dataCentre) {
        store.write(EVACUATION_PREFIX + dataCentre, ImmutableBytes.of("{}"), 0);
    }

    /** Restores an evacuated data centre. */
    public void restore(String dataCentre) {
        store.remove(EVACUATION_PREFIX + dataCentre);
    }

    public HttpHandler handler() {
        HttpHandler routes =
                new Router(
                        List.of(
                                exact("GET", "/api/kv-key", this::read),
                                exact("GET", "/api/kv-range", this::range),
                                exact("GET", "/api/kv-watch", this::watch),
                                exact("POST", "/api/kv-txn", this::writeTransaction),
                                exact("POST", "/api/kv-lease", this::createLease),
                                underPath("POST", "/api/kv-keep/", this::renewLease),
                                underPath("POST", "/admin/evacuate/", this::evacuate),
                                underPath("POST", "/admin/restore/", this::restore)));
        return (request, responder) -> {
            if (request.method().equals("GET")) {
                reads.incrementAndGet();
            }
            if (down.get()) {
                responder.disconnect();
            } else {
                routes.handle(request, responder);
            }
        };
    }

    private void evacuate(String dataCentre, FullRequest request, HttpResponder responder) {
        evacuate(dataCentre);
        responder.send(FullResponse.json(200, Map.of("revision", store.revision())));
    }

    private void restore(String dataCentre, FullRequest request, HttpResponder responder) {
        restore(dataCentre);
        responder.send(FullResponse.json(200, Map.of("revision", store.revision())));
    }

    private void read(FullRequest request, HttpResponder responder) {
        Optional<RegistryChange> item = store.read(request.query().get("key"));
        responder.send(
                item.map(existing -> FullResponse.json(200, fields(existing)))
                        .orElseGet(() -> FullResponse.error(404, "no such key")));
    }

    private void range(FullRequest request, HttpResponder responder) {
        List<RegistryChange> items =
                store.range(
                        request.query().getOrDefault("prefix", ""),
                        request.query().getOrDefault("after", ""));
        responder.send(
                FullResponse.json(
                        200,
                        Map.of(
                                "items",
                                items.stream()
                                        .limit(MAX_ITEMS_PER_PAGE)
                                        .map(RegistryFrontEnd::fields)
                                        .toList(),
                                "has_more",
                                items.size() > MAX_ITEMS_PER_PAGE,
                                "at",
                                store.revision())));
    }

    private void watch(FullRequest request, HttpResponder responder) {
        long afterRevision = request.requiredNumber("after");
        if (store.isHistoryLost(afterRevision)) {
            responder.send(
                    FullResponse.error(410, "changes since this revision are no longer available"));
            return;
        }
        Runnable timeOutWatch =
                store.watch(
                        request.query().getOrDefault("prefix", ""),
                        afterRevision,
                        changes -> responder.send(watchResponse(changes, afterRevision)));
        responder.scheduler().schedule(request.requiredNumber("wait_ms"), timeOutWatch);
    }

    private static FullResponse watchResponse(List<RegistryChange> changes, long afterRevision) {
        long lastRevision =
                changes.stream().mapToLong(RegistryChange::revision).max().orElse(afterRevision);
        return FullResponse.json(
                200,
                Map.of(
                        "events",
                        changes.stream().map(RegistryFrontEnd::fields).toList(),
                        "at",
                        lastRevision));
    }

    private void writeTransaction(FullRequest request, HttpResponder responder) {
        JsonNode body = StandinJson.parse(request.body().toUtf8String());
        Map<String, Long> expectedRevisions = new HashMap<>();
        body.path("expect")
                .forEach(
                        condition ->
                                expectedRevisions.put(
                                        condition.path("key").asText(),
                                        condition.path("revision").asLong()));
        Map<String, ImmutableBytes> values = new HashMap<>();
        long lease = 0;
        for (JsonNode write : body.path("writes")) {
            values.put(
                    write.path("key").asText(),
                    ImmutableBytes.of(Base64.getDecoder().decode(write.path("value").asText())));
            lease = write.path("lease").asLong();
        }
        if (lease != 0 && !store.leases().exists(lease)) {
            responder.send(FullResponse.error(404, "no such lease"));
            return;
        }
        List<String> removedKeys = new ArrayList<>();
        body.path("remove").forEach(key -> removedKeys.add(key.asText()));
        Optional<Long> revision = store.writeIf(expectedRevisions, values, lease, removedKeys);
        responder.send(
                revision.map(value -> FullResponse.json(200, Map.of("revision", value)))
                        .orElseGet(
                                () ->
                                        FullResponse.json(
                                                412,
                                                Map.of("items", currentItems(expectedRevisions)))));
    }

    private List<Map<String, Object>> currentItems(Map<String, Long> expectedRevisions) {
        return expectedRevisions.keySet().stream()
                .map(store::read)
                .flatMap(Optional::stream)
                .map(RegistryFrontEnd::fields)
                .toList();
    }

    private void createLease(FullRequest request, HttpResponder responder) {
        long ttlMs = StandinJson.parse(request.body().toUtf8String()).path("ttl_ms").asLong();
        responder.send(
                FullResponse.json(
                        200, Map.of("lease", store.leases().create(ttlMs), "ttl_ms", ttlMs)));
    }

    private void renewLease(String id, FullRequest request, HttpResponder responder) {
        responder.send(
                store.leases().renew(Long.parseLong(id))
                        ? FullResponse.json(200, Map.of("ttl_ms", 0))
                        : FullResponse.error(404, "no such lease"));
    }

    private static Map<String, Object> fields(RegistryChange item) {
        Map<String, Object> fields = new HashMap<>();
        fields.put("key", item.key());
        fields.put("revision", item.revision());
        item.value()
                .ifPresentOrElse(
                        value ->
                                fields.put(
                                        "value",
                                        Base64.getEncoder().encodeToString(value.toBytes())),
                        () -> fields.put("deleted", true));
        return fields;
    }
}
