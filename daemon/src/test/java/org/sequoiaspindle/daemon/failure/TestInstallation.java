package org.sequoiaspindle.daemon.failure;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.sequoiaspindle.core.common.Closer;
import org.sequoiaspindle.standins.transport.PlatformServer;

/** Test installation: a platform stand-in and the daemon processes that use the stand-in. */
final class TestInstallation implements AutoCloseable {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final HttpClient CLIENT =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    private final Closer closer = new Closer();
    private final PlatformServer platform;
    private final List<String> peerAddresses = new CopyOnWriteArrayList<>();
    private final Path directory;

    TestInstallation() {
        this(PlatformServer.start());
        closer.register(platform);
    }

    private TestInstallation(PlatformServer platform) {
        this.platform = platform;
        try {
            directory = Files.createTempDirectory(Path.of("target"), "failure");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    PlatformServer platform() {
        return platform;
    }

    /**
     * Creates an installation on the same platform. The instances of the two installations do not
     * know each other.
     */
    TestInstallation onSamePlatform() {
        return new TestInstallation(platform);
    }

    /** Registers a stand-in to be closed with the installation. */
    <T extends AutoCloseable> T register(T standIn) {
        return closer.register(standIn);
    }

    /** Starts an instance with the default settings of the tests. */
    DaemonProcess start(String name) {
        return start(name, settings -> settings);
    }

    /** Starts an instance with modified settings. */
    DaemonProcess start(String name, UnaryOperator<ObjectNode> changeSettings) {
        DaemonProcess instance =
                closer.register(
                        DaemonProcess.start(directory, changeSettings.apply(settings(name))));
        if (!instance.peerAddress().isEmpty()) {
            peerAddresses.add(instance.peerAddress());
        }
        return instance;
    }

    /** Starts instances in parallel and waits until all are ready. */
    Map<String, DaemonProcess> startAndAwaitReady(String... names) {
        Map<String, DaemonProcess> startedInstances = new ConcurrentHashMap<>();
        Await.value(
                CompletableFuture.allOf(
                        Stream.of(names)
                                .map(
                                        name ->
                                                CompletableFuture.runAsync(
                                                        () ->
                                                                startedInstances.put(
                                                                        name, start(name))))
                                .toArray(CompletableFuture[]::new)));
        awaitReady(startedInstances.values().toArray(DaemonProcess[]::new));
        return startedInstances;
    }

    /** Publishes the first configuration and waits until it is active at the instances. */
    void publishFirst(String objectSet, DaemonProcess... instances) {
        HttpResponse<String> response = Await.value(publish(instances[0], "olga", objectSet, 0));
        assertEquals(200, response.statusCode(), response.body());
        awaitReady(instances);
    }

    void awaitReady(DaemonProcess... instances) {
        List.of(instances)
                .forEach(instance -> Await.until(instance.name() + " ready", instance::isReady));
    }

    /** Publishes an object set as an operator; the response may have any status. */
    CompletableFuture<HttpResponse<String>> publish(
            DaemonProcess instance, String operator, String objectSet, long base) {
        return CLIENT.sendAsync(
                operatorRequest(
                                instance,
                                operator,
                                "/v1/configuration?base="
                                        + base
                                        + "&submission="
                                        + UUID.randomUUID())
                        .PUT(HttpRequest.BodyPublishers.ofString(objectSet))
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    /** Returns the generation of the active configuration of an instance. */
    long generation(DaemonProcess instance) {
        HttpRequest request = operatorRequest(instance, "olga", "/v1/status").build();
        HttpResponse<String> status =
                Await.value(CLIENT.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        return TestCaller.json(status.body()).path("generation").asLong(-1);
    }

    @Override
    public void close() {
        closer.close();
    }

    private static HttpRequest.Builder operatorRequest(
            DaemonProcess instance, String operator, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + instance.httpAddress() + path))
                .header(
                        "Authorization",
                        "Bearer " + operator + ":" + TestObjectSets.secret(operator));
    }

    private ObjectNode settings(String name) {
        ObjectNode settings =
                MAPPER.createObjectNode()
                        .put("instance", name)
                        .put("dataCentre", TestObjectSets.DATA_CENTRE)
                        .put("drainGraceMs", 200);
        settings.putObject("http").put("host", "127.0.0.1").put("port", 0);
        ArrayNode knownPeers =
                settings.putObject("peer")
                        .put("host", "127.0.0.1")
                        .put("port", 0)
                        .put("secret", "shared-secret-of-the-tests")
                        .putArray("peers");
        peerAddresses.forEach(knownPeers::add);
        settings.putObject("platform").put("address", platform.address());
        settings.putObject("bootstrapOperator")
                .put("name", "olga")
                .put("secretHash", TestObjectSets.secretHash("olga"));
        return settings;
    }
}
