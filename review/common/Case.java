import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

/**
 * A deployment for one case: the store, entry processes started with the command of the deploy
 * file, and a record of what was sent, answered and run. Ends every process that it started.
 */
final class Case implements AutoCloseable {
    static final String KEY = "9dnn2ctnfzs989anu6ws";
    static final String TENANT = "bozi300";
    static final String HOST = "pule25.example";

    /** An entry process. */
    static final class Entry {
        final String name;
        final int front;
        final int ready;
        final Process process;

        private Entry(String name, int front, int ready, Process process) {
            this.name = name;
            this.front = front;
            this.ready = ready;
            this.process = process;
        }
    }

    final StoreStandIn store;
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Path root;
    private final Path work;
    private final PrintWriter record;
    private final List<Entry> entries = new ArrayList<>();
    private final List<Http.Server> servers = new ArrayList<>();
    private final AtomicLong lastAttempt = new AtomicLong();
    private final long startedAt = System.currentTimeMillis();

    /** Creates a deployment without entry processes; arguments: repository root, case folder. */
    Case(String[] arguments) throws Exception {
        root = Path.of(arguments[0]);
        record = new PrintWriter(Path.of(arguments[1], "record.txt").toFile());
        work = Files.createTempDirectory("review");
        store = new StoreStandIn();
        record("trouble " + (trouble ? "on" : "off"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Runs a case and exits with its status; an error means that the case could not run. */
    static void run(String[] arguments, CaseBody body) {
        int status = 2;
        try (Case deployment = new Case(arguments)) {
            status = body.run(deployment) ? 0 : 1;
            deployment.record("RESULT: the rule " + (status == 0 ? "held" : "was broken"));
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(status);
    }

    /** Returns whether the rule held. */
    interface CaseBody {
        boolean run(Case deployment) throws Exception;
    }

    synchronized void record(String line) {
        record.printf("%7.3f %s%n", (System.currentTimeMillis() - startedAt) / 1e3, line);
        record.flush();
    }

    String newAttemptId() {
        return String.format("%016x", 0x9c41d07b00000000L + lastAttempt.incrementAndGet());
    }

    /** Starts a replica that answers with the handler. */
    Http.Server startServer(Http.Handler handler) throws IOException {
        Http.Server server = new Http.Server(handler);
        servers.add(server);
        return server;
    }

    /** Registers a replica in the store; the first registration starts its incarnation. */
    void register(String id, String service, String zone, String address, int slots) {
        register(id, service, zone, address, slots, "ready", startedAt);
    }

    void register(
            String id, String service, String zone, String address, int slots, String state,
            long born) {
        store.put(
                "servers/" + id,
                map(
                        "service", service, "address", address, "zone", zone, "version", "1",
                        "slots", slots, "state", state, "cold_left_ms", 0, "seq", 1, "born", born));
    }

    /** Writes the configuration; the store's acknowledgement is the return of this call. */
    void configure(long version, List<?> routes, List<?> services) {
        store.put(
                "op/config",
                map(
                        "version", version,
                        "routes", routes,
                        "services", services,
                        "limits",
                        map(
                                "max_header_bytes", 16384, "max_body_bytes", 4194304,
                                "header_timeout_ms", 3000, "idle_timeout_ms", 15000),
                        "tenants",
                        List.of(map("name", TENANT, "api_keys", List.of(KEY)))));
    }

    static Map<String, Object> map(Object... pairs) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < pairs.length; i += 2) {
            map.put(pairs[i].toString(), pairs[i + 1]);
        }
        return map;
    }

    /** Starts an entry process whose output goes to a file; see {@link #startEntry}. */
    Entry startEntry(String name, String zone) throws Exception {
        return startEntry(name, zone, () -> true);
    }

    /**
     * Starts an entry process with the command of the deploy file and waits until it is ready.
     * Standard output and standard error go to one reader, which reads as long as it is told to.
     */
    Entry startEntry(String name, String zone, BooleanSupplier readsLog) throws Exception {
        int[] ports = freePorts(5);
        Path settings = work.resolve(name + ".json");
        String template = Files.readString(root.resolve("deploy/settings.json.template"));
        Map<String, String> values =
                Map.ofEntries(
                        Map.entry("node", '"' + name + '"'),
                        Map.entry("zone", '"' + zone + '"'),
                        Map.entry("listen.front", "\"127.0.0.1:" + ports[0] + '"'),
                        Map.entry("listen.ready", "\"127.0.0.1:" + ports[1] + '"'),
                        Map.entry("ip", "\"127.0.0.1\""),
                        Map.entry("port_range.0", String.valueOf(ports[2])),
                        Map.entry("port_range.1", String.valueOf(ports[3])),
                        Map.entry("platform.address", '"' + store.server.address() + '"'),
                        Map.entry("limits.cpu_share", "0.75"),
                        Map.entry("limits.cpu_cores", "1"),
                        Map.entry("limits.memory_mb", "290"),
                        Map.entry("bounds.grace_s", "8"),
                        Map.entry("bounds.strict_revoke", "true"),
                        Map.entry("bounds.revoke_ms", "5000"),
                        Map.entry("bounds.budget_ratio", "0.2"),
                        Map.entry("bounds.budget_window_s", "10"),
                        Map.entry("bounds.budget_slack", "52"));
        for (Map.Entry<String, String> value : values.entrySet()) {
            template = template.replace("{{" + value.getKey() + "|json}}", value.getValue());
        }
        Files.writeString(settings, template);
        ProcessBuilder builder =
                new ProcessBuilder(command())
                        .directory(root.toFile())
                        .redirectErrorStream(true);
        builder.environment().put("SEQUOIASPINDLE_SETTINGS", settings.toString());
        Entry entry = new Entry(name, ports[0], ports[1], builder.start());
        entries.add(entry);
        Http.daemonThread(() -> readLog(entry, readsLog));
        awaitReady(entry);
        record("entry " + name + " is ready");
        return entry;
    }

    private void readLog(Entry entry, BooleanSupplier readsLog) {
        byte[] buffer = new byte[4096];
        try (InputStream in = entry.process.getInputStream();
                OutputStream out = Files.newOutputStream(work.resolve(entry.name + ".log"))) {
            for (int length = in.read(buffer); length > 0; length = in.read(buffer)) {
                out.write(buffer, 0, length);
                while (!readsLog.getAsBoolean()) {
                    sleep(20);
                }
            }
        } catch (IOException e) {
            // The process has ended.
        }
    }

    private List<String> command() throws IOException {
        String line =
                Files.readAllLines(root.resolve("deploy/system.toml")).stream()
                        .filter(text -> text.startsWith("run = "))
                        .findFirst()
                        .orElseThrow();
        String command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        return Arrays.asList(command.split(" "));
    }

    /** Returns free ports; the third is followed by one that is free as well. */
    private static int[] freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            while (true) {
                int first = 21_000 + (int) (Math.random() * 9_000);
                try {
                    for (int i = 0; i < count; i++) {
                        sockets.add(
                                new ServerSocket(first + i, 1, InetAddress.getByName("127.0.0.1")));
                    }
                } catch (IOException e) {
                    closeAll(sockets);
                    continue;
                }
                // The relay listens on the port after the second but last.
                return new int[] {first, first + 1, first + 2, first + 4};
            }
        } finally {
            closeAll(sockets);
        }
    }

    private static void closeAll(List<ServerSocket> sockets) throws IOException {
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        sockets.clear();
    }

    private void awaitReady(Entry entry) throws Exception {
        for (int i = 0; i < 300; i++) {
            if (!entry.process.isAlive()) {
                throw new IOException(entry.name + " ended: " + log(entry));
            }
            if (isReady(entry)) {
                return;
            }
            sleep(100);
        }
        throw new IOException(entry.name + " does not become ready: " + log(entry));
    }

    static boolean isReady(Entry entry) {
        try (Http.Connection connection = Http.Connection.open(entry.ready)) {
            connection.socket.setSoTimeout(1_000);
            connection.write("GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
            return connection.read().status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    String log(Entry entry) throws IOException {
        return Files.readString(work.resolve(entry.name + ".log"));
    }

    static void sleep(long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    @Override
    public synchronized void close() {
        for (Entry entry : entries) {
            entry.process.destroyForcibly();
        }
        for (Entry entry : entries) {
            try {
                entry.process.waitFor();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        entries.clear();
        servers.forEach(Http.Server::close);
        File[] files = work.toFile().listFiles();
        for (File file : files == null ? new File[0] : files) {
            file.delete();
        }
        work.toFile().delete();
        record.flush();
    }
}
