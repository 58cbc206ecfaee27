package org.sequoiaspindle.bench.transport;

import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.sequoiaspindle.bench.protocol.BenchJson;

/**
 * Processes started by an experiment, which are killed when the experiment ends, also on SIGINT.
 */
final class ChildProcesses implements AutoCloseable {

    private static final Pattern DAEMON_READY =
            Pattern.compile("daemon started.*\"http\":\"([0-9.]+:[0-9]+)\"");
    private static final Pattern STANDIN_READY = Pattern.compile("^\\{.*\"ready\":true.*\\}$");

    private final Path home = Path.of(System.getProperty("sequoiaspindle.home", "."));
    private final Path directory;
    private final AtomicReference<Vector<ChildProcess>> children =
            new AtomicReference<>(Vector.empty());
    private final AtomicReference<Vector<ChildProcess>> standins =
            new AtomicReference<>(Vector.empty());
    private final Thread shutdownHook = new Thread(this::killAll, "child process cleanup");

    /**
     * Creates the directory and registers a shutdown hook that kills the processes.
     *
     * @param directory directory for settings and logs
     */
    ChildProcesses(Path directory) {
        this.directory = directory;
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Runtime.getRuntime().addShutdownHook(shutdownHook);
    }

    /** Starts the stand-in of the platform and returns its address. */
    String startPlatform() {
        return startStandin("platform", "-Xmx256m", "platform", "--port", "0")
                .awaitReady()
                .group()
                .replaceAll(".*\"address\":\"([^\"]+)\".*", "$1");
    }

    /**
     * Starts endpoint stand-ins in one process and returns their addresses by name.
     *
     * @param members JSON array in the format of {@code bin/standin fleet}
     */
    Map<String, String> startFleet(String members) {
        Path file = writeFile("fleet.json", members);
        MatchResult ready =
                startStandin("fleet", "-Xmx768m", "fleet", "--file", file.toString()).awaitReady();
        Map<String, String> addresses = LinkedHashMap.empty();
        var fields = BenchJson.parse(ready.group()).findPath("endpoints").fields();
        while (fields.hasNext()) {
            var field = fields.next();
            addresses = addresses.put(field.getKey(), field.getValue().asText());
        }
        return addresses;
    }

    /** Starts an entry instance without waiting until it is ready. */
    ChildProcess startDaemon(String name, String settings, int processors) {
        Path file = writeFile(name + ".json", settings);
        return start(
                Vector.of(scriptPath("sequoiaspindled"), "--settings", file.toString()),
                LinkedHashMap.of(
                        "SEQUOIASPINDLED_JAVA_OPTIONS", "-XX:ActiveProcessorCount=" + processors),
                name,
                DAEMON_READY);
    }

    /** Returns the CPU time of the stand-ins, in milliseconds. */
    double standinCpuMs() {
        return standins.get()
                .map(child -> ProcessStatistics.cpuMs(child.pid()))
                .sum()
                .doubleValue();
    }

    /** Returns a port that is currently free; another process may take it later. */
    static int freePort() {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void close() {
        children.get().forEach(ChildProcess::kill);
        children.get().forEach(ChildProcess::close);
        removeShutdownHook();
    }

    private void removeShutdownHook() {
        try {
            Runtime.getRuntime().removeShutdownHook(shutdownHook);
        } catch (IllegalStateException e) {
            // The JVM is shutting down and the hook is already running.
            killAll();
        }
    }

    private ChildProcess startStandin(String name, String memory, String... arguments) {
        ChildProcess child =
                start(
                        Vector.of(scriptPath("standin")).appendAll(Vector.of(arguments)),
                        LinkedHashMap.of("STANDIN_JAVA_OPTS", memory + " -XX:+UseSerialGC"),
                        name,
                        STANDIN_READY);
        standins.updateAndGet(all -> all.append(child));
        return child;
    }

    private ChildProcess start(
            Vector<String> command,
            Map<String, String> environment,
            String name,
            Pattern readyLine) {
        ChildProcess child =
                ChildProcess.start(
                        command, environment, directory.resolve(name + ".log"), readyLine);
        children.updateAndGet(all -> all.append(child));
        return child;
    }

    private void killAll() {
        children.get().forEach(ChildProcess::kill);
    }

    private String scriptPath(String name) {
        return home.resolve("bin").resolve(name).toString();
    }

    private Path writeFile(String name, String content) {
        try {
            return Files.writeString(directory.resolve(name), content);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
