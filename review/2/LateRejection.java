import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four stage replicas crashes after it has answered a call, so that the model replica
 * rejects the request with 409 and has not run it. The model replica, one of two, sends this one
 * rejection a second time, late: when the next request arrives on the connection.
 */
public final class LateRejection {
    private static final int REQUESTS = 45;
    private static final long REQUEST_INTERVAL_MS = 600;
    private static final int STAGE_REPLICAS = 4;
    /** Number of the stage call whose replica crashes after its answer. */
    private static final int FATAL_CALL = 20;
    /** Results that can still be fetched. */
    private static final Set<String> RESULTS = ConcurrentHashMap.newKeySet();
    /** Requests that the model replica began to work on. */
    private static final Set<String> RAN = ConcurrentHashMap.newKeySet();
    private static final Map<String, Integer> STATUSES = new ConcurrentHashMap<>();
    private static final Map<Http.Connection, byte[]> LATE_COPIES = new ConcurrentHashMap<>();
    private static final AtomicInteger STAGE_CALLS = new AtomicInteger();
    private static int copies;
    private static int answers;

    private LateRejection() {}

    public static void main(String[] arguments) {
        Case.run(arguments, LateRejection::run);
    }

    private static boolean run(Case deployment) throws Exception {
        for (int i = 1; i <= STAGE_REPLICAS; i++) {
            Stage stage = new Stage(deployment, "i-stage-" + i);
            deployment.register(
                    "i-stage-" + i, "notice-board", "kec-a", stage.server.address(), 1);
        }
        for (int i = 1; i <= 2; i++) {
            String name = "i-model-" + i;
            Http.Server model =
                    deployment.startServer((c, request) -> generate(deployment, name, c, request));
            deployment.register(name, "spindle-pool", "kec-a", model.address(), 96);
        }
        deployment.configure(1, List.of(route()), List.of(stageService(), modelService()));
        Case.Entry entry = deployment.startEntry("front-kec-a-1", "kec-a");
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < REQUESTS; i++) {
            Thread client = new Thread(() -> send(deployment, entry));
            client.start();
            clients.add(client);
            Case.sleep(REQUEST_INTERVAL_MS);
        }
        for (Thread client : clients) {
            client.join(10_000);
        }
        // A refusal promises that the request does not run later either.
        Case.sleep(1_000);
        long served = STATUSES.values().stream().filter(status -> status == 200).count();
        List<String> broken =
                STATUSES.keySet().stream()
                        .filter(id -> List.of(408, 421, 429, 503).contains(STATUSES.get(id)))
                        .filter(RAN::contains)
                        .toList();
        deployment.record(
                served + " of " + REQUESTS + " requests served; the model replicas gave " + answers
                        + " answers and sent " + copies + " copies; refused although run: "
                        + broken);
        if (served < REQUESTS / 2) {
            throw new IllegalStateException("fewer than half of the requests were served");
        }
        return broken.isEmpty();
    }

    private static Map<String, Object> route() {
        return Case.map(
                "name", "survey-assess", "host", Case.HOST, "prefix", "/puxa400/",
                "service", "spindle-pool", "kind", "stream", "timeout_ms", 6000, "slo_ms", 1100,
                "max_attempts", 1, "priority", 1, "sticky", true, "gap_target_ms", 400,
                "stages",
                List.of(Case.map("service", "notice-board", "after", List.of(), "bytes", 100_000)));
    }

    private static Map<String, Object> stageService() {
        return Case.map(
                "name", "notice-board", "health_path", "/health", "max_conns", 480,
                "pieces",
                Case.map(
                        "slots", 1, "queue", 2, "batch", 6, "call_ms", 200, "item_ms", 28,
                        "room_mb", 13.5, "handle_s", 4, "link_mbps", 10_000));
    }

    private static Map<String, Object> modelService() {
        return Case.map("name", "spindle-pool", "health_path", "/health", "max_conns", 480);
    }

    private static void send(Case deployment, Case.Entry entry) {
        String id = deployment.newAttemptId();
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("Host", Case.HOST);
        fields.put("X-Sequoiaspindle-Attempt-Id", id);
        fields.put("X-Sequoiaspindle-Model", "m");
        fields.put("X-Sequoiaspindle-Token-Usage", "900,12");
        fields.put("X-Sequoiaspindle-Prompt-Prefix", "5c1e07a2:800," + id.substring(8) + ":100");
        fields.put("X-Sequoiaspindle-Deadline-Ms", "6000");
        fields.put("X-Sequoiaspindle-Pieces", "1");
        fields.put("X-Sequoiaspindle-Piece-Key", "7c" + id.substring(4));
        fields.put("Authorization", "Bearer " + Case.KEY);
        try (Http.Connection connection = Http.Connection.open(entry.front)) {
            connection.socket.setSoTimeout(8_000);
            deployment.record("client sends " + id);
            connection.write(Http.request("POST /puxa400/2f", fields, "assess"));
            Http.Message answer = connection.read();
            deployment.record(
                    "client reads " + answer.status() + " for " + id + ", Retry-After "
                            + answer.field("Retry-After"));
            STATUSES.put(id, answer.status());
        } catch (Exception e) {
            deployment.record("client reads no answer for " + id + ": " + e.getMessage());
            STATUSES.put(id, 0);
        }
    }

    /** A model replica. */
    private static void generate(
            Case deployment, String name, Http.Connection connection, Http.Message request)
            throws Exception {
        byte[] copy = LATE_COPIES.remove(connection);
        if (copy != null) {
            deployment.record(name + " sends its previous answer once more");
            copies++;
            connection.write(copy);
        }
        String id = request.field("X-Sequoiaspindle-Attempt-Id");
        List<String> inputs = List.of(request.field("X-Sequoiaspindle-Inputs").split(","));
        answers++;
        // The results are fetched on arrival, before the prompt is read.
        if (!RESULTS.containsAll(inputs)) {
            deployment.record(name + " rejects " + id + ": " + inputs + " no longer exist");
            byte[] rejection =
                    Http.response(
                            409,
                            Map.of(
                                    "X-Sequoiaspindle-Attempt-Id", id,
                                    "X-Sequoiaspindle-Not-Executed", "1"),
                            "");
            connection.write(rejection);
            if (copies == 0 && LATE_COPIES.isEmpty()) {
                LATE_COPIES.put(connection, rejection);
            }
            return;
        }
        Case.sleep(30);
        deployment.record(name + " runs " + id);
        RAN.add(id);
        connection.write(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                        + "X-Sequoiaspindle-Attempt-Id: " + id + "\r\n"
                        + "X-Sequoiaspindle-Response-Seal: 3e1b." + id + "\r\n"
                        + "Transfer-Encoding: chunked\r\n\r\n");
        for (int event = 1; event <= 3; event++) {
            String text = "id: " + event + "\ndata: assessment\n\n";
            connection.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            Case.sleep(20);
        }
        connection.write("0\r\n\r\n");
    }

    /** A stage replica with one slot. Its results end with it. */
    private static final class Stage {
        private final Case deployment;
        private final String id;
        private final Http.Server server;
        private final Set<String> own = ConcurrentHashMap.newKeySet();
        private int lastHandle = 0x91bd3f06;

        Stage(Case deployment, String id) throws Exception {
            this.deployment = deployment;
            this.id = id;
            server = deployment.startServer(this::handle);
        }

        private void handle(Http.Connection connection, Http.Message request) throws Exception {
            if (request.path().equals("/api/stage-free")) {
                Json.list(Json.object(request.body()).get("handles")).forEach(RESULTS::remove);
                connection.respond(200, Map.of("Content-Type", "application/json"), "{}");
                return;
            }
            List<Map<String, Object>> items =
                    Json.objects(Json.object(request.body()).get("items"));
            connection.write(work(items));
            if (STAGE_CALLS.incrementAndGet() == FATAL_CALL && deployment.trouble) {
                deployment.record(id + " crashes");
                RESULTS.removeAll(own);
                // The answer has left; the connections end with the process.
                Case.sleep(5);
                server.close();
            }
        }

        /** Computes the pieces of one call, one call at a time. */
        private synchronized byte[] work(List<Map<String, Object>> items) {
            Case.sleep(200 + 28L * items.size());
            List<Map<String, Object>> results = new ArrayList<>();
            StringBuilder made = new StringBuilder();
            for (Map<String, Object> item : items) {
                String handle = server.address() + "/" + Integer.toHexString(lastHandle++);
                RESULTS.add(handle);
                own.add(handle);
                results.add(Case.map("handle", handle));
                made.append(" " + handle + " for " + item.get("id"));
            }
            deployment.record(id + " makes" + made);
            return Http.response(
                    200,
                    Map.of(
                            "Content-Type", "application/json",
                            "X-Sequoiaspindle-Instance-Load", "0,0,1"),
                    Json.write(Case.map("items", results)));
        }
    }
}
