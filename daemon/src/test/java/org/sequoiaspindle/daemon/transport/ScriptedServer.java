package org.sequoiaspindle.daemon.transport;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Server that runs a script on each connection. The script has full control over the bytes that the
 * server sends.
 */
public final class ScriptedServer implements AutoCloseable {

    /** Serves one connection. */
    @FunctionalInterface
    public interface Script {
        void run(Connection connection) throws IOException;
    }

    /** One accepted connection. */
    public record Connection(Socket socket, int number) {

        /**
         * Reads a request with its body; returns an empty string if the client has closed the
         * connection.
         */
        public String readRequest() throws IOException {
            InputStream in = socket.getInputStream();
            ByteArrayOutputStream head = new ByteArrayOutputStream();
            while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
                int next = in.read();
                if (next < 0) {
                    return "";
                }
                head.write(next);
            }
            String text = head.toString(StandardCharsets.ISO_8859_1);
            int start = text.toLowerCase().indexOf("content-length: ");
            int length =
                    start < 0
                            ? 0
                            : Integer.parseInt(
                                    text.substring(start + 16, text.indexOf('\r', start)));
            return text + new String(in.readNBytes(length), StandardCharsets.UTF_8);
        }

        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Sends a response with a complete body. */
        public void respond(String statusAndHeaders, String body) throws IOException {
            int length = body.getBytes(StandardCharsets.UTF_8).length;
            write("HTTP/1.1 " + statusAndHeaders + "\r\nContent-Length: " + length + "\r\n\r\n");
            write(body);
        }
    }

    private final ServerSocket listener;
    private final ExecutorService threads = Executors.newCachedThreadPool();
    private final AtomicInteger connections = new AtomicInteger();

    public ScriptedServer(Script script) {
        try {
            listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        threads.execute(() -> accept(script));
    }

    /** Returns an address on which nothing listens. */
    public static String closedAddress() {
        ScriptedServer server = new ScriptedServer(connection -> {});
        server.close();
        return server.address();
    }

    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    public int connections() {
        return connections.get();
    }

    @Override
    public void close() {
        try {
            listener.close();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        threads.shutdownNow();
    }

    private void accept(Script script) {
        while (!listener.isClosed()) {
            try {
                Socket socket = listener.accept();
                int number = connections.incrementAndGet();
                threads.execute(() -> runScript(script, new Connection(socket, number)));
            } catch (IOException e) {
                return;
            }
        }
    }

    private static void runScript(Script script, Connection connection) {
        try (Socket socket = connection.socket()) {
            script.run(connection);
        } catch (IOException e) {
            // The client closed the connection, which some scripts cause on purpose.
            return;
        }
    }
}
