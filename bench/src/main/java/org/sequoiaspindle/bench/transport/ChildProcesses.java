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
import org.sequoiaspindle.bench.protocol.Json;

/** All processes that an experiment has started. They end with it, also on SIGINT. */
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
    private final Thread hook = new Thread(this::killAll, "end of processes");

    /**
     * Creates the keeper of the processes.
     *
     * @param directory where settings and logs go
     */
    ChildProcesses(Path directory) {
        this.directory = directory;
        try {
            Files.createDirectories(directory);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        Runtime.getRuntime().addShutdownHook(hook);
    }

    /** Starts the platform and returns its address. */
    String platform() {
        return standin("platform", "-Xmx256m", "platform", "--port", "0")
                .awaitReady()
                .group()
                .replaceAll(".*\"address\":\"([^\"]+)\".*", "$1");
    }

    /**
     * Starts endpoints in one process and returns their addresses by name.
     *
     * @param members JSON list as {@code bin/standin fleet} reads it
     */
    Map<String, String> fleet(String members) {
        Path file = write("fleet.json", members);
        MatchResult ready =
                standin("fleet", "-Xmx768m", "fleet", "--file", file.toString()).awaitReady();
        Map<String, String> addresses = LinkedHashMap.empty();
        var fields = Json.parse(ready.group()).findPath("endpoints").fields();
        while (fields.hasNext()) {
            var field = fields.next();
            addresses = addresses.put(field.getKey(), field.getValue().asText());
        }
        return addresses;
    }

    /** Starts an entry instance, which is not ready yet. */
    ChildProcess daemon(String name, String settings, int processors) {
        Path file = write(name + ".json", settings);
        return started(
                Vector.of(script("sequoiaspindled"), "--settings", file.toString()),
                LinkedHashMap.of(
                        "SEQUOIASPINDLED_JAVA_OPTIONS", "-XX:ActiveProcessorCount=" + processors),
                name,
                DAEMON_READY);
    }

    /** CPU time of the stand-ins in milliseconds. */
    double standinCpuMs() {
        return standins.get()
                .map(child -> ProcessStatistics.cpuMs(child.pid()))
                .sum()
                .doubleValue();
    }

    /** A port that is free now. */
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
        removeHook();
    }

    private void removeHook() {
        try {
            Runtime.getRuntime().removeShutdownHook(hook);
        } catch (IllegalStateException e) {
            // The tool is being stopped and the hook runs already.
            killAll();
        }
    }

    private ChildProcess standin(String name, String memory, String... arguments) {
        ChildProcess child =
                started(
                        Vector.of(script("standin")).appendAll(Vector.of(arguments)),
                        LinkedHashMap.of("STANDIN_JAVA_OPTS", memory + " -XX:+UseSerialGC"),
                        name,
                        STANDIN_READY);
        standins.updateAndGet(all -> all.append(child));
        return child;
    }

    private ChildProcess started(
            Vector<String> command, Map<String, String> environment, String name, Pattern ready) {
        ChildProcess child =
                ChildProcess.start(command, environment, directory.resolve(name + ".log"), ready);
        children.updateAndGet(all -> all.append(child));
        return child;
    }

    private void killAll() {
        children.get().forEach(ChildProcess::kill);
    }

    private String script(String name) {
        return home.resolve("bin").resolve(name).toString();
    }

    private Path write(String name, String text) {
        try {
            return Files.writeString(directory.resolve(name), text);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
