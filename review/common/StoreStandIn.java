import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: keys with revisions, watches, transactions and leases. Never fails. */
final class StoreStandIn {
    private record Item(byte[] value, long revision, long created, long lease) {}

    private record Lease(long ttlMillis, long endsAt) {}

    final Http.Server server;
    private final TreeMap<String, Item> items = new TreeMap<>();
    private final List<Map<String, Object>> events = new ArrayList<>();
    private final Map<Long, Lease> leases = new LinkedHashMap<>();
    private long revision = 100;
    private long lastLease = 10;

    StoreStandIn() throws Exception {
        server = new Http.Server(this::handle);
        Http.daemonThread(
                () -> {
                    while (true) {
                        Case.sleep(50);
                        endLeases();
                    }
                });
    }

    /** Writes a key as the operator or a replica does. */
    synchronized void put(String key, Object value) {
        apply(key, Json.write(value).getBytes(), 0, ++revision);
        notifyAll();
    }

    synchronized void remove(String key) {
        delete(key, ++revision);
        notifyAll();
    }

    private void apply(String key, byte[] value, long lease, long at) {
        Item before = items.get(key);
        Item item = new Item(value, at, before == null ? at : before.created(), lease);
        items.put(key, item);
        events.add(json(key, item));
    }

    private void delete(String key, long at) {
        if (items.remove(key) != null) {
            events.add(new LinkedHashMap<>(Map.of("key", key, "revision", at, "deleted", true)));
        }
    }

    private synchronized void endLeases() {
        long now = System.currentTimeMillis();
        for (Long id : List.copyOf(leases.keySet())) {
            if (leases.get(id).endsAt() < now) {
                leases.remove(id);
                long at = ++revision;
                items.entrySet().stream()
                        .filter(entry -> entry.getValue().lease() == id)
                        .map(Map.Entry::getKey)
                        .toList()
                        .forEach(key -> delete(key, at));
                notifyAll();
            }
        }
    }

    private static Map<String, Object> json(String key, Item item) {
        Map<String, Object> json = new LinkedHashMap<>();
        json.put("key", key);
        json.put("value", Base64.getEncoder().encodeToString(item.value()));
        json.put("revision", item.revision());
        json.put("created", item.created());
        json.put("lease", item.lease());
        return json;
    }

    private void handle(Http.Connection connection, Http.Message request) throws Exception {
        int status = 200;
        Map<String, Object> result = new LinkedHashMap<>();
        switch (request.path()) {
            case "/api/kv-range" -> range(request, result);
            case "/api/kv-watch" -> watch(request, result);
            case "/api/kv-key" -> status = read(request, result);
            case "/api/kv-txn" -> status = transaction(Json.object(request.body()), result);
            case "/api/kv-lease" -> grant(Json.object(request.body()), result);
            default -> status = renewOrEnd(request, result);
        }
        connection.respond(
                status, Map.of("Content-Type", "application/json"), Json.write(result));
    }

    private synchronized void range(Http.Message request, Map<String, Object> result) {
        String prefix = request.query("prefix");
        String after = request.query("after");
        List<Object> found = new ArrayList<>();
        items.forEach(
                (key, item) -> {
                    if (key.startsWith(prefix) && key.compareTo(after) > 0) {
                        found.add(json(key, item));
                    }
                });
        result.put("items", found);
        result.put("has_more", false);
        result.put("at", revision);
    }

    private synchronized int read(Http.Message request, Map<String, Object> result) {
        Item item = items.get(request.query("key"));
        if (item == null) {
            return 404;
        }
        result.putAll(json(request.query("key"), item));
        result.put("at", revision);
        return 200;
    }

    private synchronized void watch(Http.Message request, Map<String, Object> result)
            throws InterruptedException {
        String prefix = request.query("prefix");
        long after = Long.parseLong(request.query("after"));
        long end = System.currentTimeMillis() + Long.parseLong(request.query("wait_ms"));
        List<Map<String, Object>> found = eventsAfter(prefix, after);
        while (found.isEmpty() && System.currentTimeMillis() < end) {
            wait(Math.max(1, end - System.currentTimeMillis()));
            found = eventsAfter(prefix, after);
        }
        result.put("events", found);
        result.put("at", Math.max(after, revision));
    }

    private List<Map<String, Object>> eventsAfter(String prefix, long after) {
        return events.stream()
                .filter(event -> (Long) event.get("revision") > after)
                .filter(event -> event.get("key").toString().startsWith(prefix))
                .toList();
    }

    private synchronized int transaction(Map<String, Object> body, Map<String, Object> result) {
        List<Object> conflicts = new ArrayList<>();
        boolean holds = true;
        for (Map<String, Object> row : Json.objects(body.get("expect"))) {
            String key = row.get("key").toString();
            Item item = items.get(key);
            holds &= (item == null ? 0 : item.revision()) == Json.number(row.get("revision"));
            if (item != null) {
                conflicts.add(json(key, item));
            }
        }
        if (!holds) {
            result.put("items", conflicts);
            return 412;
        }
        long at = ++revision;
        for (Map<String, Object> row : Json.objects(body.get("writes"))) {
            long lease = Json.number(row.get("lease"));
            if (lease != 0 && !leases.containsKey(lease)) {
                return 404;
            }
            byte[] value = Base64.getDecoder().decode(row.get("value").toString());
            apply(row.get("key").toString(), value, lease, at);
        }
        Json.list(body.get("remove")).forEach(key -> delete(key.toString(), at));
        result.put("revision", at);
        notifyAll();
        return 200;
    }

    private synchronized void grant(Map<String, Object> body, Map<String, Object> result) {
        long ttl = Json.number(body.get("ttl_ms"));
        long id = ++lastLease;
        leases.put(id, new Lease(ttl, System.currentTimeMillis() + ttl));
        result.put("lease", id);
        result.put("ttl_ms", ttl);
    }

    private synchronized int renewOrEnd(Http.Message request, Map<String, Object> result) {
        long id = Long.parseLong(request.path().replaceAll(".*/", ""));
        Lease lease = leases.get(id);
        if (lease == null) {
            return 404;
        }
        boolean ends = request.method().equals("DELETE");
        leases.put(
                id,
                new Lease(
                        lease.ttlMillis(),
                        ends ? 0 : System.currentTimeMillis() + lease.ttlMillis()));
        result.put("ttl_ms", lease.ttlMillis());
        return 200;
    }
}
