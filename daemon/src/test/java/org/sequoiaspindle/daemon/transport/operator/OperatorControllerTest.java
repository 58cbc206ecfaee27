package org.sequoiaspindle.daemon.transport.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.List;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.peer.InstanceStatus;
import org.sequoiaspindle.core.protocol.publication.PublishRequest;
import org.sequoiaspindle.core.protocol.publication.PublishResult;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.SnapshotHolder;
import org.sequoiaspindle.daemon.state.EntrySettings;
import org.sequoiaspindle.daemon.transport.HttpFrontEnd;

/**
 * Guards against unauthenticated access and against wrong statuses and bodies in replies to
 * operators.
 */
final class OperatorControllerTest {

    private static final String PUBLISH = "/v1/configuration?base=3&submission=s1";

    private final SnapshotHolder snapshots = new SnapshotHolder();
    private final AtomicReference<PublishResult> publishResult =
            new AtomicReference<>(new PublishResult.Published(4));
    private final AtomicReference<PublishRequest> receivedRequest = new AtomicReference<>();
    private final AtomicBoolean ready = new AtomicBoolean();
    private final HttpFrontEnd server = HttpFrontEnd.create("127.0.0.1", 0);

    @BeforeEach
    void start() {
        OperatorDependencies dependencies =
                new OperatorDependencies(
                        "entry-1",
                        snapshots,
                        Option.of(new EntrySettings.BootstrapOperator("boot", hash("first"))),
                        text ->
                                text.equals("{}")
                                        ? Either.right(ObjectSet.empty())
                                        : Either.left(
                                                Vector.of(
                                                        new ValidationProblem(
                                                                "c", "k", "o", "f", "m"))),
                        objects -> "{\"operators\":[]}",
                        request -> {
                            receivedRequest.set(request);
                            return CompletableFuture.completedFuture(publishResult.get());
                        },
                        () ->
                                Vector.of(
                                        new InstanceStatus(
                                                "entry-1", "n", "a:1", 9, "serving", 0)));
        server.start(List.of(dependencies, new MonitoringDependencies(() -> "up 1\n", ready::get)));
    }

    @AfterEach
    void stop() {
        server.close();
    }

    @Test
    void bootstrapOperatorPublishesOnlyWhileThereIsNoConfiguration() throws Exception {
        assertEquals(200, put(PUBLISH, "boot:first", "{}").statusCode());
        assertEquals(
                new PublishRequest("boot", "s1", 3, ObjectSet.empty(), false),
                receivedRequest.get());
        adoptConfiguration();
        assertEquals(401, put(PUBLISH, "boot:first", "{}").statusCode());
        assertEquals(200, put(PUBLISH, "olga:secret", "{}").statusCode());
    }

    @Test
    void unauthenticatedRequestsReachNeitherThePublisherNorTheConfiguration() throws Exception {
        adoptConfiguration();
        for (String credential : new String[] {"olga:wrong", "nobody:", "nobody:x", "boot:first"}) {
            assertEquals(401, put(PUBLISH, credential, "{}").statusCode());
            assertEquals(401, get("/v1/configuration", credential).statusCode());
            assertEquals(401, get("/v1/status", credential).statusCode());
        }
        assertNull(receivedRequest.get());
    }

    @Test
    void everyResultHasItsStatusAndBody() throws Exception {
        adoptConfiguration();
        assertPut(200, "{\"result\":\"published\",\"generation\":4}");
        publishResult.set(new PublishResult.Checked(4));
        assertPut(200, "{\"result\":\"checked\",\"generation\":4}");
        publishResult.set(
                new PublishResult.Invalid(
                        Vector.of(new ValidationProblem("c", "k", "o", "f", "m"))));
        assertPut(
                422,
                "{\"result\":\"invalid\",\"problems\":[{\"code\":\"c\",\"kind\":\"k\","
                        + "\"object\":\"o\",\"field\":\"f\",\"message\":\"m\"}]}");
        publishResult.set(new PublishResult.Conflict(5, "igor", "s9"));
        assertPut(
                409,
                "{\"result\":\"conflict\",\"generation\":5,\"operator\":\"igor\","
                        + "\"submission\":\"s9\"}");
        publishResult.set(new PublishResult.NotRun("why"));
        assertPut(503, "{\"result\":\"notRun\",\"reason\":\"why\"}");
        publishResult.set(new PublishResult.Unknown("why"));
        assertPut(504, "{\"result\":\"unknown\",\"reason\":\"why\"}");
    }

    @Test
    void malformedPublicationsAreRefused() throws Exception {
        adoptConfiguration();
        assertEquals(422, put(PUBLISH, "olga:secret", "{").statusCode());
        for (String query : new String[] {"", "?base=3", "?base=x&submission=s", "?submission=s"}) {
            assertEquals(
                    400, put("/v1/configuration" + query, "olga:secret", "{}").statusCode(), query);
        }
        assertEquals(400, put(PUBLISH + "&dryRun=maybe", "olga:secret", "{}").statusCode());
        assertNull(receivedRequest.get());
    }

    @Test
    void operatorsSeeTheConfigurationAndTheInstances() throws Exception {
        adoptConfiguration();
        assertEquals(
                "{\"generation\":9,\"objects\":{\"operators\":[]}}",
                get("/v1/configuration", "olga:secret").body());
        assertEquals(
                "{\"instance\":\"entry-1\",\"generation\":9,\"instances\":[{"
                        + "\"instance\":\"entry-1\",\"dataCentre\":\"n\",\"address\":\"a:1\","
                        + "\"generation\":9,\"serving\":\"serving\",\"lastHeardMillis\":0}]}",
                get("/v1/status", "olga:secret").body());
    }

    @Test
    void anyoneSeesMetricsAndHealth() throws Exception {
        assertEquals("up 1\n", get("/metrics", "-").body());
        assertEquals(200, get("/health/live", "-").statusCode());
        assertEquals(503, get("/health/ready", "-").statusCode());
        ready.set(true);
        assertEquals(200, get("/health/ready", "-").statusCode());
    }

    private void adoptConfiguration() {
        ObjectSet empty = ObjectSet.empty();
        assertTrue(
                snapshots.adopt(
                        Snapshot.of(
                                9,
                                new ObjectSet(
                                        empty.organisations(),
                                        Vector.of(new Operator("olga", hash("secret"))),
                                        empty.endpointGroups(),
                                        empty.endpoints(),
                                        empty.stages(),
                                        empty.pipelines(),
                                        empty.routingRules()))));
    }

    private void assertPut(int status, String body) throws Exception {
        HttpResponse<String> response = put(PUBLISH, "olga:secret", "{}");
        assertEquals(status, response.statusCode());
        assertEquals(body, response.body());
    }

    private HttpResponse<String> put(String path, String credential, String body) throws Exception {
        return send(
                request(path, credential).PUT(HttpRequest.BodyPublishers.ofString(body)).build());
    }

    private HttpResponse<String> get(String path, String credential) throws Exception {
        return send(request(path, credential).build());
    }

    private HttpRequest.Builder request(String path, String credential) {
        return HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
                .header("Authorization", "Bearer " + credential);
    }

    private static HttpResponse<String> send(HttpRequest request) throws Exception {
        return HttpClient.newHttpClient().send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String hash(String secret) {
        return SecretHash.of(secret, new byte[] {1, 2, 3});
    }
}
