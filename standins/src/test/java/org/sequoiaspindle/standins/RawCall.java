package org.sequoiaspindle.standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** A call to an endpoint on a separate socket, so that the test can close the connection. */
public final class RawCall implements AutoCloseable {

    private final Socket socket;
    private final BufferedReader reader;

    private RawCall(Socket socket) throws IOException {
        this.socket = socket;
        reader =
                new BufferedReader(
                        new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
    }

    /** Sends a call. Each header is a line such as {@code Sequoia-Priority: 1}. */
    public static RawCall execute(String address, String body, String... headers) {
        String head =
                "POST /v1/execute HTTP/1.1\r\nHost: test\r\nContent-Length: "
                        + body.length()
                        + "\r\n"
                        + String.join("\r\n", headers)
                        + (headers.length > 0 ? "\r\n\r\n" : "\r\n");
        try {
            String[] parts = address.split(":");
            Socket socket = new Socket(parts[0], Integer.parseInt(parts[1]));
            socket.setSoTimeout(Await.TIMEOUT_S * 1000);
            socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
            return new RawCall(socket);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the next {@code data:} line, or null at the end of the connection. */
    public String nextDataLine() {
        try {
            String line = reader.readLine();
            while (line != null && !line.startsWith("data: ")) {
                line = reader.readLine();
            }
            return line;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the remaining {@code data:} lines up to the last event of the stream or the end of
     * the connection.
     */
    public List<String> remainingDataLines() {
        List<String> lines = new ArrayList<>();
        for (String line = nextDataLine(); line != null; line = nextDataLine()) {
            lines.add(line);
            if (line.contains("\"tokens\"")) {
                break;
            }
        }
        return lines;
    }

    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
