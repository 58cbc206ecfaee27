import java.io.OutputStream;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in for a sound replica of a plain service or of a model: answers each request after some
 * time, and one for a stream with an event now and then.
 */
final class SoundServer implements AutoCloseable {

    private static final String STREAM_PREFIX = "/puxa400/";
    private static final long WORK_MS = 20;
    private static final int EVENTS = 30;
    private static final long EVENT_GAP_MS = 100;

    private final Listener listener = new Listener(this::handle);
    private final String id;
    private final List<String> executed = new CopyOnWriteArrayList<>();

    SoundServer(String id) {
        this.id = id;
    }

    /** Registers the replica in the store as replicas do. */
    void register(StoreServer store, String service, String zone, int slots) {
        store.put(
                "servers/" + id,
                """
                {"service":"%s","address":"%s","zone":"%s","version":1,"slots":%d,\
                "state":"ready","cold_left_ms":0,"seq":1,"born":1764900000000}"""
                        .formatted(service, listener.address(), zone, slots));
    }

    /** Returns the identifiers of the executed requests. */
    List<String> executed() {
        return List.copyOf(executed);
    }

    private boolean handle(Http.Message request, OutputStream out) throws Exception {
        String attempt = request.field("X-Sequoiaspindle-Attempt-Id");
        if (!request.field("X-Sequoiaspindle-Expect-Instance").equals(id)) {
            out.write(Http.bytes("HTTP/1.1 421 -\r\nContent-Length: 0\r\n\r\n"));
            return true;
        }
        executed.add(attempt);
        if (request.target().startsWith(STREAM_PREFIX)) {
            return stream(attempt, out);
        }
        Scenario.pause(WORK_MS);
        byte[] body = Http.bytes("answer to " + attempt);
        out.write(
                Http.bytes(
                        """
                        HTTP/1.1 200 OK\r
                        X-Sequoiaspindle-Attempt-Id: %s\r
                        X-Sequoiaspindle-Response-Seal: seal-%s\r
                        Content-Length: %d\r
                        \r
                        """
                                .formatted(attempt, attempt, body.length)));
        out.write(body);
        out.flush();
        return true;
    }

    private static boolean stream(String attempt, OutputStream out) throws Exception {
        out.write(
                Http.bytes(
                        """
                        HTTP/1.1 200 OK\r
                        Content-Type: text/event-stream\r
                        X-Sequoiaspindle-Attempt-Id: %s\r
                        X-Sequoiaspindle-Response-Seal: seal-%s\r
                        Transfer-Encoding: chunked\r
                        \r
                        """
                                .formatted(attempt, attempt)));
        for (int i = 1; i <= EVENTS; i++) {
            Scenario.pause(EVENT_GAP_MS);
            String event = "id: " + i + "\ndata: " + attempt + "\n\n";
            out.write(Http.bytes("%x\r\n%s\r\n".formatted(event.length(), event)));
            out.flush();
        }
        out.write(Http.bytes("0\r\n\r\n"));
        out.flush();
        return true;
    }

    @Override
    public void close() {
        listener.close();
    }
}
