package org.sequoiaspindle.standins.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.http.HttpResponse;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.standins.StandinClient;

/**
 * Guards against a fleet in which an endpoint is missing, and against a malformed definition being
 * accepted.
 */
final class EndpointFleetTest {

    private static final String CALL = "{\"input\":\"a\"}";

    @Test
    void hundredsOfEndpointsAnswerFromOneProcess() {
        String definition =
                IntStream.range(0, 300)
                        .mapToObj(i -> "{\"role\":\"service\",\"name\":\"s%d\"}".formatted(i))
                        .collect(Collectors.joining(",\n", "[ // services\n", "]"))
                        .replace("\"s0\"", "\"s0\",\"serviceMs\":1,\"slots\":3");
        try (EndpointFleet fleet = EndpointFleet.start(definition)) {
            assertEquals(300, List.copyOf(fleet.addresses().values()).stream().distinct().count());
            assertEquals(3, fleet.endpoints().get("s0").load().slots());
            List<CompletableFuture<HttpResponse<String>>> responses =
                    fleet.addresses().values().stream()
                            .map(
                                    address ->
                                            StandinClient.start(
                                                    "POST", address, "/v1/execute", CALL))
                            .toList();
            responses.forEach(response -> assertEquals(200, response.join().statusCode()));
        }
    }

    @Test
    void aFleetWithARepeatedNameOrAnUnknownOptionIsRefused() {
        String endpoint = "{\"role\":\"engine\",\"name\":\"e\"}";
        assertThrows(
                IllegalArgumentException.class,
                () -> EndpointFleet.start("[" + endpoint + "," + endpoint + "]"));
        assertThrows(
                IllegalArgumentException.class,
                () -> EndpointFleet.start("[{\"role\":\"engine\",\"name\":\"e\",\"slot\":1}]"));
    }
}
