import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** HTTP/1.1 for the stand-ins: one thread for each connection, and a blocking client. */
final class Http {
    /** A request or a response. Field names are in lower case. */
    record Message(String startLine, Map<String, String> fields, byte[] body) {
        String field(String name) {
            return fields.get(name.toLowerCase());
        }

        String method() {
            return startLine.split(" ")[0];
        }

        String target() {
            return startLine.split(" ")[1];
        }

        String path() {
            return target().split("\\?")[0];
        }

        /** Returns a parameter of the query, decoded, or an empty string. */
        String query(String name) {
            int mark = target().indexOf('?');
            for (String pair : mark < 0 ? new String[0] : target().substring(mark + 1).split("&")) {
                if (pair.startsWith(name + "=")) {
                    return java.net.URLDecoder.decode(
                            pair.substring(name.length() + 1), StandardCharsets.UTF_8);
                }
            }
            return "";
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** A connection on which messages are read and raw bytes are written. */
    static final class Connection implements AutoCloseable {
        final Socket socket;
        final InputStream in;
        final OutputStream out;

        Connection(Socket socket) throws IOException {
            this.socket = socket;
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        static Connection open(int port) throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2_000);
            return new Connection(socket);
        }

        /** Reads one message. A response without a length ends with the connection. */
        Message read() throws IOException {
            String startLine = line();
            while (startLine.isEmpty()) {
                startLine = line();
            }
            Map<String, String> fields = new LinkedHashMap<>();
            for (String line = line(); !line.isEmpty(); line = line()) {
                int colon = line.indexOf(':');
                fields.merge(
                        line.substring(0, colon).toLowerCase(),
                        line.substring(colon + 1).strip(),
                        (a, b) -> a + "," + b);
            }
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            if ("chunked".equalsIgnoreCase(fields.get("transfer-encoding"))) {
                for (int size = chunkSize(); size > 0; size = chunkSize()) {
                    body.write(exactly(size));
                    line();
                }
                line();
            } else if (fields.containsKey("content-length")) {
                body.write(exactly(Integer.parseInt(fields.get("content-length"))));
            } else if (startLine.startsWith("HTTP/") && !startLine.contains(" 204 ")) {
                in.transferTo(body);
            }
            return new Message(startLine, fields, body.toByteArray());
        }

        private int chunkSize() throws IOException {
            return Integer.parseInt(line().split(";")[0].strip(), 16);
        }

        private byte[] exactly(int length) throws IOException {
            byte[] bytes = in.readNBytes(length);
            if (bytes.length < length) {
                throw new EOFException("body ended early");
            }
            return bytes;
        }

        String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int next = in.read(); next != '\n'; next = in.read()) {
                if (next < 0) {
                    throw new EOFException("connection closed");
                }
                if (next != '\r') {
                    line.write(next);
                }
            }
            return line.toString(StandardCharsets.ISO_8859_1);
        }

        void write(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }

        void write(String text) throws IOException {
            write(text.getBytes(StandardCharsets.UTF_8));
        }

        void respond(int status, Map<String, String> fields, String body) throws IOException {
            write(response(status, fields, body));
        }

        /** Closes the connection with a reset. */
        void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** Handles one request; the connection is kept unless the handler closes it. */
    interface Handler {
        void handle(Connection connection, Message request) throws Exception;
    }

    /** A server on a free port of 127.0.0.1. */
    static final class Server implements AutoCloseable {
        private final ServerSocket socket;
        private final java.util.Set<Socket> open =
                java.util.concurrent.ConcurrentHashMap.newKeySet();

        Server(Handler handler) throws IOException {
            socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            daemonThread(() -> accept(handler));
        }

        int port() {
            return socket.getLocalPort();
        }

        String address() {
            return "127.0.0.1:" + port();
        }

        private void accept(Handler handler) {
            try {
                while (true) {
                    Socket accepted = socket.accept();
                    open.add(accepted);
                    daemonThread(() -> serve(accepted, handler));
                }
            } catch (IOException e) {
                // The server was closed.
            }
        }

        private void serve(Socket accepted, Handler handler) {
            try (Connection connection = new Connection(accepted)) {
                while (!accepted.isClosed()) {
                    handler.handle(connection, connection.read());
                }
            } catch (EOFException | SocketException e) {
                // The caller closed the connection.
            } catch (Exception e) {
                e.printStackTrace();
            } finally {
                open.remove(accepted);
            }
        }

        /** Stops listening and resets all connections, as the end of a process does. */
        @Override
        public void close() {
            try {
                socket.close();
                for (Socket connection : open) {
                    connection.setSoLinger(true, 0);
                    connection.close();
                }
            } catch (IOException e) {
                // Nothing is left to close.
            }
        }
    }

    static void daemonThread(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    static byte[] response(int status, Map<String, String> fields, String body) {
        StringBuilder head = new StringBuilder("HTTP/1.1 " + status + " Status\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        byte[] content = body.getBytes(StandardCharsets.UTF_8);
        head.append("Content-Length: " + content.length + "\r\n\r\n");
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.writeBytes(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        all.writeBytes(content);
        return all.toByteArray();
    }

    static String request(String startLine, Map<String, String> fields, String body) {
        StringBuilder head = new StringBuilder(startLine + " HTTP/1.1\r\n");
        fields.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
        if (!body.isEmpty() || startLine.startsWith("POST")) {
            head.append("Content-Length: " + body.getBytes(StandardCharsets.UTF_8).length + "\r\n");
        }
        return head.append("\r\n").append(body).toString();
    }

    private Http() {}
}
