package org.sequoiaspindle.daemon.failure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;

/** A daemon that runs in its own process. */
final class DaemonProcess implements AutoCloseable {

    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final String name;
    private final Process process;
    private final JsonNode addresses;

    private DaemonProcess(String name, Process process, JsonNode addresses) {
        this.name = name;
        this.process = process;
        this.addresses = addresses;
    }

    /**
     * Starts a daemon and waits until it listens. Writes the settings and the log of the daemon to
     * the directory.
     */
    static DaemonProcess start(Path directory, ObjectNode settings) {
        String name = settings.path("instance").asText();
        try {
            Path settingsFile = Files.createTempFile(directory, name, ".json");
            Path log = Files.createTempFile(directory, name, ".log");
            Files.writeString(settingsFile, settings.toString());
            Process process =
                    new ProcessBuilder(
                                    Path.of(System.getProperty("java.home"), "bin/java").toString(),
                                    "-Xmx256m",
                                    "-XX:+UseSerialGC",
                                    "-XX:TieredStopAtLevel=1",
                                    "-cp",
                                    System.getProperty(
                                            "surefire.test.class.path",
                                            System.getProperty("java.class.path")),
                                    "org.sequoiaspindle.daemon.transport.DaemonMain",
                                    "--settings",
                                    settingsFile.toString())
                            .redirectErrorStream(true)
                            .redirectOutput(log.toFile())
                            .start();
            Await.until(
                    "instance " + name + " started, log " + log,
                    () -> startedEventFields(log).isPresent() || !process.isAlive());
            return new DaemonProcess(
                    name,
                    process,
                    startedEventFields(log)
                            .orElseThrow(
                                    () ->
                                            new IllegalStateException(
                                                    "the daemon exited during its start: "
                                                            + readLog(log))));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    String name() {
        return name;
    }

    /** Returns the HTTP address for callers and operators. */
    String httpAddress() {
        return addresses.path("http").asText();
    }

    /** Returns the address for other instances, empty if the daemon reports no address. */
    String peerAddress() {
        return addresses.path("peer").asText("");
    }

    boolean isReady() {
        return readyStatus() == 200;
    }

    /** Returns the HTTP status of the readiness check, 0 if the instance does not respond. */
    int readyStatus() {
        try {
            HttpRequest request =
                    HttpRequest.newBuilder(URI.create("http://" + httpAddress() + "/health/ready"))
                            .build();
            return CLIENT.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
        } catch (IOException e) {
            return 0;
        } catch (InterruptedException e) {
            throw new IllegalStateException("interrupted", e);
        }
    }

    /** Waits until the process ends and returns its exit code. */
    int exitCode() {
        return Await.value(process.onExit()).exitValue();
    }

    /** Kills the process without a graceful shutdown (kill -9). */
    void kill() {
        process.destroyForcibly();
        Await.value(process.onExit());
    }

    /** Requests a graceful shutdown (SIGTERM). */
    void terminate() {
        signal("TERM");
    }

    /** Suspends the process until {@link #resume} is called (SIGSTOP). */
    void pause() {
        signal("STOP");
    }

    void resume() {
        signal("CONT");
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    private void signal(String signal) {
        try {
            Process kill =
                    new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start();
            Await.value(kill.onExit());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static Optional<JsonNode> startedEventFields(Path log) {
        return readLog(log)
                .lines()
                .filter(line -> line.contains("daemon started") && line.endsWith("}"))
                .findFirst()
                .map(line -> TestCaller.json(line).path("fields"));
    }

    private static String readLog(Path log) {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
