import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Two entry processes of one zone serve payments and a few staged requests on kept connections. One
 * client then sends one request whose number of pieces cannot be true. All other requests are as
 * usual. As the platform does, the stand-in checks the readiness of each process once a second and
 * opens no new connections to one that has missed two checks.
 */
public final class PieceCount {
    private static final int USUAL_PIECES = 2;
    private static final int WRONG_PIECES = 200_000;
    private static final int PAYMENT_CLIENTS = 60;
    private static final int STREAM_CLIENTS = 2;
    private static final long PAYMENT_INTERVAL_MS = 3_000;
    private static final long STREAM_INTERVAL_MS = 1_000;
    private static final long WRONG_REQUEST_AT_MS = 8_000;
    private static final long LAST_REQUEST_AT_MS = 24_000;
    private static final long FEE_TIMEOUT_MS = 2_000;
    private static final long STREAM_TIMEOUT_MS = 6_000;
    /** The rule counts requests without an answer this long after the timeout of their route. */
    private static final long LATE_MS = 500;
    private static final int MISSED_CHECKS = 2;
    private static final AtomicInteger ANSWERED_IN_TIME = new AtomicInteger();
    private static final AtomicInteger UNANSWERED_AT_TIMEOUT = new AtomicInteger();
    private static final AtomicInteger UNANSWERED_LATER = new AtomicInteger();
    private static final AtomicInteger NEXT_ENTRY = new AtomicInteger();
    private static final Set<Case.Entry> OUT_OF_ROTATION = ConcurrentHashMap.newKeySet();

    private PieceCount() {}

    public static void main(String[] arguments) {
        Case.run(arguments, PieceCount::run);
    }

    private static boolean run(Case deployment) throws Exception {
        startReplicas(deployment);
        deployment.configure(1, List.of(feeRoute(), streamRoute()), services());
        List<Case.Entry> entries =
                List.of(
                        deployment.startEntry("front-kec-a-1", "kec-a"),
                        deployment.startEntry("front-kec-a-2", "kec-a"));
        entries.forEach(entry -> Http.daemonThread(() -> checkReadiness(deployment, entry)));
        long startedAt = System.currentTimeMillis();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < PAYMENT_CLIENTS + STREAM_CLIENTS; i++) {
            boolean isPayment = i < PAYMENT_CLIENTS;
            Thread client =
                    new Thread(
                            () -> sendAll(new Client(deployment, entries, isPayment), startedAt));
            client.start();
            clients.add(client);
            Case.sleep(PAYMENT_INTERVAL_MS / PAYMENT_CLIENTS);
        }
        Case.sleep(startedAt + WRONG_REQUEST_AT_MS - System.currentTimeMillis());
        if (deployment.trouble) {
            Client client = new Client(deployment, entries, false);
            Thread wrong = new Thread(() -> client.send(WRONG_PIECES));
            wrong.start();
            clients.add(wrong);
        }
        for (Thread client : clients) {
            client.join(60_000);
        }
        for (Case.Entry entry : entries) {
            deployment.record(
                    entry.name + " runs: " + entry.process.isAlive() + ", ready: "
                            + Case.isReady(entry));
        }
        deployment.record(
                ANSWERED_IN_TIME + " requests answered before their route's timeout, "
                        + UNANSWERED_AT_TIMEOUT + " not, of these " + UNANSWERED_LATER
                        + " without an answer " + LATE_MS + " ms later");
        return UNANSWERED_LATER.get() * 2 <= UNANSWERED_AT_TIMEOUT.get();
    }

    private static void checkReadiness(Case deployment, Case.Entry entry) {
        int missed = 0;
        while (true) {
            long checkedAt = System.currentTimeMillis();
            missed = Case.isReady(entry) ? 0 : missed + 1;
            if (missed >= MISSED_CHECKS && OUT_OF_ROTATION.add(entry)) {
                deployment.record("platform takes " + entry.name + " out of rotation");
            } else if (missed == 0 && OUT_OF_ROTATION.remove(entry)) {
                deployment.record("platform takes " + entry.name + " into rotation");
            }
            Case.sleep(Math.max(0, checkedAt + 1_000 - System.currentTimeMillis()));
        }
    }

    private static void sendAll(Client client, long startedAt) {
        while (System.currentTimeMillis() - startedAt < LAST_REQUEST_AT_MS) {
            client.send(USUAL_PIECES);
            Case.sleep(client.isPayment ? PAYMENT_INTERVAL_MS : STREAM_INTERVAL_MS);
        }
    }

    private static Map<String, Object> feeRoute() {
        return Case.map(
                "name", "fee-post", "host", Case.HOST, "prefix", "/bobo563/",
                "service", "licence-register", "kind", "non_idempotent",
                "timeout_ms", FEE_TIMEOUT_MS, "slo_ms", 386, "max_attempts", 1, "priority", 2);
    }

    private static Map<String, Object> streamRoute() {
        return Case.map(
                "name", "survey-assess", "host", Case.HOST, "prefix", "/puxa400/",
                "service", "spindle-pool", "kind", "stream", "timeout_ms", STREAM_TIMEOUT_MS,
                "slo_ms", 1100, "max_attempts", 1, "priority", 1, "sticky", true,
                "gap_target_ms", 400,
                "stages",
                List.of(Case.map("service", "notice-board", "after", List.of(), "bytes", 100_000)));
    }

    private static List<Map<String, Object>> services() {
        return List.of(
                Case.map("name", "licence-register", "health_path", "/health", "max_conns", 96),
                Case.map("name", "spindle-pool", "health_path", "/health", "max_conns", 480),
                Case.map(
                        "name", "notice-board", "health_path", "/health", "max_conns", 480,
                        "pieces",
                        Case.map(
                                "slots", 1, "queue", 2, "batch", 6, "call_ms", 200, "item_ms", 28,
                                "room_mb", 13.5, "handle_s", 4, "link_mbps", 10_000)));
    }

    private static void startReplicas(Case deployment) throws Exception {
        for (int i = 1; i <= 4; i++) {
            Http.Server fee = deployment.startServer((c, request) -> answer(c, request, 80));
            deployment.register("i-fee-" + i, "licence-register", "kec-a", fee.address(), 6);
            Http.Server model = deployment.startServer((c, request) -> answer(c, request, 100));
            deployment.register("i-model-" + i, "spindle-pool", "kec-a", model.address(), 96);
        }
        for (int i = 1; i <= 4; i++) {
            Http.Server stage = deployment.startServer(stageHandler());
            deployment.register("i-stage-" + i, "notice-board", "kec-a", stage.address(), 1);
        }
    }

    private static void answer(Http.Connection connection, Http.Message request, long workMillis)
            throws Exception {
        Case.sleep(workMillis);
        String id = request.field("X-Sequoiaspindle-Attempt-Id");
        connection.respond(
                200,
                Map.of(
                        "X-Sequoiaspindle-Attempt-Id", id,
                        "X-Sequoiaspindle-Response-Seal", "3e1b." + id),
                "id: 1\ndata: done\n\n");
    }

    private static Http.Handler stageHandler() {
        Object slot = new Object();
        AtomicInteger lastHandle = new AtomicInteger(0x91bd3f06);
        return (connection, request) -> {
            List<Object> results = new ArrayList<>();
            if (request.path().equals("/api/stage-run")) {
                List<Map<String, Object>> items =
                        Json.objects(Json.object(request.body()).get("items"));
                synchronized (slot) {
                    Case.sleep(200 + 28L * items.size());
                }
                String address = "127.0.0.1:" + connection.socket.getLocalPort();
                for (int i = 0; i < items.size(); i++) {
                    String handle = Integer.toHexString(lastHandle.incrementAndGet());
                    results.add(Case.map("handle", address + "/" + handle));
                }
            }
            connection.respond(
                    200,
                    Map.of("Content-Type", "application/json"),
                    Json.write(Case.map("items", results)));
        };
    }

    /** A client that keeps its connection as long as its requests are answered. */
    private static final class Client {
        private final Case deployment;
        private final List<Case.Entry> entries;
        private final boolean isPayment;
        private Case.Entry entry;
        private Http.Connection connection;

        Client(Case deployment, List<Case.Entry> entries, boolean isPayment) {
            this.deployment = deployment;
            this.entries = entries;
            this.isPayment = isPayment;
        }

        void send(int pieces) {
            String id = deployment.newAttemptId();
            boolean isWrong = pieces == WRONG_PIECES;
            long timeout = isPayment ? FEE_TIMEOUT_MS : STREAM_TIMEOUT_MS;
            String target = isPayment ? "POST /bobo563/lo7/2f" : "POST /puxa400/2f";
            long sentAt = System.currentTimeMillis();
            String result;
            try {
                if (connection == null) {
                    entry = entryInRotation();
                    connection = Http.Connection.open(entry.front);
                }
                connection.socket.setSoTimeout((int) (timeout + LATE_MS));
                sentAt = System.currentTimeMillis();
                connection.write(Http.request(target, fields(id, pieces), "body"));
                result = String.valueOf(connection.read().status());
            } catch (Exception e) {
                result = "no answer: " + e.getMessage();
                close();
            }
            long duration = System.currentTimeMillis() - sentAt;
            deployment.record(
                    entry.name + " "
                            + (isPayment ? "payment " : isWrong ? "WRONG " : "stream ")
                            + id + " " + result + " after " + duration + " ms");
            if (!isWrong) {
                count(duration, timeout);
            }
        }

        private Case.Entry entryInRotation() {
            List<Case.Entry> usable =
                    entries.stream().filter(each -> !OUT_OF_ROTATION.contains(each)).toList();
            List<Case.Entry> all = usable.isEmpty() ? entries : usable;
            return all.get(NEXT_ENTRY.getAndIncrement() % all.size());
        }

        private Map<String, String> fields(String id, int pieces) {
            Map<String, String> fields = new LinkedHashMap<>();
            fields.put("Host", Case.HOST);
            fields.put("X-Sequoiaspindle-Attempt-Id", id);
            // Long enough for the timeout of the route to be what ends a request.
            fields.put("X-Sequoiaspindle-Deadline-Ms", isPayment ? "4000" : "8000");
            fields.put("Authorization", "Bearer " + Case.KEY);
            if (!isPayment) {
                fields.put("X-Sequoiaspindle-Model", "m");
                fields.put("X-Sequoiaspindle-Token-Usage", "900,12");
                fields.put(
                        "X-Sequoiaspindle-Prompt-Prefix",
                        "5c1e07a2:800," + id.substring(8) + ":100");
                fields.put("X-Sequoiaspindle-Pieces", String.valueOf(pieces));
                fields.put("X-Sequoiaspindle-Piece-Key", "7c" + id.substring(4));
            }
            return fields;
        }

        private void close() {
            try {
                if (connection != null) {
                    connection.close();
                }
            } catch (java.io.IOException e) {
                // The connection is not used again.
            }
            connection = null;
        }

        private static void count(long duration, long timeout) {
            if (duration < timeout) {
                ANSWERED_IN_TIME.incrementAndGet();
            } else {
                UNANSWERED_AT_TIMEOUT.incrementAndGet();
                if (duration >= timeout + LATE_MS) {
                    UNANSWERED_LATER.incrementAndGet();
                }
            }
        }
    }
}
