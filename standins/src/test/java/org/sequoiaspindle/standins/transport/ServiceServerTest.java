package org.sequoiaspindle.standins.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.http.HttpResponse;
import java.util.Map;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.StandinClient;
import org.sequoiaspindle.standins.state.EndpointFault;
import org.sequoiaspindle.standins.state.ServiceOptions;

/** Guards against wrong execution counts, with and without injected faults. */
final class ServiceServerTest {

    private final ServiceServer service =
            ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "1", "sigma", "0.5")));

    @AfterEach
    void close() {
        service.close();
    }

    @Test
    void theResponseRepeatsTheRequestIdAndAttemptAndContainsTheExpectedOutput() {
        HttpResponse<String> response = execute("r1", "trip");
        assertTrue(
                response.body()
                        .startsWith(
                                "{\"output\":\"%s\",\"requestId\":\"r1\",\"attempt\":2,"
                                        .formatted(ServiceServer.expectedOutput("book", "trip"))),
                response.body());
        assertEquals(
                "{\"total\":1,\"byRequest\":{\"r1\":1},\"byInput\":{\"trip\":1}}",
                StandinClient.send("GET", service.address(), "/admin/executions", "").body());
    }

    @Test
    void aLostOrTruncatedResponseCountsAsExecutedAndARefusedCallDoesNot() {
        service.setFault(EndpointFault.of(EndpointFault.Mode.CLOSE_BEFORE_ANSWER));
        assertThrows(CompletionException.class, () -> execute("r1", "trip"));
        service.setFault(EndpointFault.of(EndpointFault.Mode.CUT));
        assertThrows(CompletionException.class, () -> execute("r2", "trip"));
        service.setFault(EndpointFault.of(EndpointFault.Mode.REFUSE));
        assertEquals(503, execute("r3", "trip").statusCode());
        assertEquals(1, service.executionCounts().countForRequest("r1"));
        assertEquals(1, service.executionCounts().countForRequest("r2"));
        assertEquals(0, service.executionCounts().countForRequest("r3"));
        assertEquals(2, service.executionCounts().countForInput("trip"));
    }

    @Test
    void adminCommandsChangeTheRequestIdAndTheLeavingFlagOfAnswers() {
        StandinClient.send("POST", service.address(), "/admin/fault", "{\"mode\":\"wrongId\"}");
        StandinClient.send("POST", service.address(), "/admin/leaving?value=true", "");
        String body = execute("r1", "trip").body();
        assertTrue(body.contains("\"requestId\":\"wrong-r1\""), body);
        assertTrue(body.endsWith("\"leaving\":true}"), body);
    }

    @Test
    void theChoiceOfCallsAffectedByAFaultFollowsTheSeed() {
        service.setFault(EndpointFault.of(EndpointFault.Mode.REFUSE).withShare(0.5));
        StringBuilder pattern = new StringBuilder();
        try (ServiceServer sameSeed =
                ServiceServer.start(ServiceOptions.of(Map.of("serviceMs", "1")))) {
            sameSeed.setFault(EndpointFault.of(EndpointFault.Mode.REFUSE).withShare(0.5));
            for (int i = 0; i < 40; i++) {
                int status = execute("r" + i, "trip").statusCode();
                pattern.append(status == 200 ? 'a' : 'r');
                assertEquals(
                        status,
                        StandinClient.send(
                                        "POST",
                                        sameSeed.address(),
                                        "/v1/execute",
                                        "{\"input\":\"trip\"}")
                                .statusCode());
            }
        }
        assertTrue(pattern.toString().matches(".*a.*") && pattern.indexOf("r") >= 0);
    }

    @Test
    void aMalformedCallIsAnsweredWith400() {
        assertEquals(
                400,
                StandinClient.send("POST", service.address(), "/v1/execute", "{").statusCode());
    }

    private HttpResponse<String> execute(String requestId, String input) {
        return StandinClient.send(
                "POST",
                service.address(),
                "/v1/execute",
                "{\"input\":\"" + input + "\"}",
                "Sequoia-Request-Id",
                requestId,
                "Sequoia-Stage",
                "book",
                "Sequoia-Attempt",
                "2");
    }
}
