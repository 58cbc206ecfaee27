package org.sequoiaspindle.cli.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;

/** Guards against wrong results of publications and retries with another submission id. */
final class PublishTest {

    private static final String EXAMPLE = "../examples/ecuries.json";
    private static final String PUBLISHED = "{\"result\":\"published\",\"generation\":8}";
    private static final String UNKNOWN = "{\"result\":\"unknown\",\"reason\":\"store silent\"}";
    private static final String NOT_RUN = "{\"result\":\"notRun\",\"reason\":\"store down\"}";

    @Test
    void publishedSetIsSentInCanonicalFormWithBaseSubmissionAndCredential() throws IOException {
        try (FakeInstance instance =
                FakeInstance.respondingWith(FakeInstance.json(200, PUBLISHED))) {
            CliRun run = publish(EXAMPLE, instance);
            FakeInstance.RecordedRequest recordedRequest = instance.recordedRequests().head();

            assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
            assertEquals(
                    "/v1/configuration?base=7&submission=submission-1&dryRun=false",
                    recordedRequest.uri());
            assertEquals(
                    "Bearer ops:" + CliRun.SECRET,
                    recordedRequest.headers().getFirst("Authorization"));
            assertEquals(
                    ObjectSetWriter.write(
                            ObjectSetReader.read(Files.readString(Path.of(EXAMPLE))).get()),
                    recordedRequest.body());
        }
    }

    @Test
    void unknownResultIsRetriedWithTheSameSubmissionOnTheNextInstance() {
        try (FakeInstance first = FakeInstance.respondingWith(FakeInstance.json(200, UNKNOWN));
                FakeInstance second =
                        FakeInstance.respondingWith(FakeInstance.json(200, PUBLISHED))) {
            CliRun run = publish(EXAMPLE, first, second);

            assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
            assertEquals(
                    first.recordedRequests().head().uri(), second.recordedRequests().head().uri());
        }
    }

    @Test
    void unresponsiveInstanceLeavesTheResultUnknownAfterThreeRetries() {
        try (FakeInstance instance = FakeInstance.respondingWith(FakeInstance.noResponse())) {
            CliRun run =
                    CliRun.of(
                            "publish",
                            EXAMPLE,
                            "--base=7",
                            "--operator=ops",
                            "--timeout-ms=100",
                            "--instance=" + instance.address());

            assertEquals(ExitCode.UNKNOWN, run.exitCode(), run.transcript());
            assertTrue(run.out().contains("--submission submission-1"), run.out());
            assertEquals(4, instance.recordedRequests().size());
        }
    }

    @Test
    void notRunAfterAnUnknownResultStaysUnknown() {
        try (FakeInstance instance =
                FakeInstance.respondingWith(
                        FakeInstance.json(200, UNKNOWN), FakeInstance.json(503, NOT_RUN))) {
            assertEquals(ExitCode.UNKNOWN, publish(EXAMPLE, instance).exitCode());
        }
    }

    @Test
    void notRunOnTheFirstAttemptIsReportedWithoutRetry() {
        try (FakeInstance instance = FakeInstance.respondingWith(FakeInstance.json(503, NOT_RUN))) {
            assertEquals(ExitCode.NOT_RUN, publish(EXAMPLE, instance).exitCode());
            assertEquals(1, instance.recordedRequests().size());
        }
    }

    @Test
    void dryRunWithUnknownResultIsReportedAsNotRun() {
        try (FakeInstance instance = FakeInstance.respondingWith(FakeInstance.json(200, UNKNOWN))) {
            CliRun run =
                    CliRun.of(
                            "publish",
                            EXAMPLE,
                            "--base=7",
                            "--dry-run",
                            "--operator=ops",
                            "--instance=" + instance.address());

            assertEquals(ExitCode.NOT_RUN, run.exitCode(), run.transcript());
            assertTrue(instance.recordedRequests().head().uri().endsWith("&dryRun=true"));
        }
    }

    @Test
    void conflictWithTheSameSubmissionCountsAsPublished() {
        String conflictWithSameSubmission =
                "{\"result\":\"conflict\",\"generation\":8,\"operator\":\"ops\","
                        + "\"submission\":\"submission-1\"}";
        try (FakeInstance instance =
                FakeInstance.respondingWith(
                        FakeInstance.json(200, UNKNOWN),
                        FakeInstance.json(409, conflictWithSameSubmission))) {
            assertEquals(ExitCode.DONE, publish(EXAMPLE, instance).exitCode());
        }
    }

    @Test
    void wrongCredentialIsReportedAsNotRun() {
        String body = "{\"result\":\"notRun\",\"reason\":\"send a credential\"}";
        try (FakeInstance instance = FakeInstance.respondingWith(FakeInstance.json(401, body))) {
            CliRun run = publish(EXAMPLE, instance);

            assertEquals(ExitCode.NOT_RUN, run.exitCode(), run.transcript());
            assertTrue(run.out().contains("check the name and the secret"), run.out());
        }
    }

    @Test
    void inconsistentSetIsNeverSent(@TempDir Path directory) throws IOException {
        Path file = Files.writeString(directory.resolve("set.json"), "{\"stages\": 5}");
        try (FakeInstance instance =
                FakeInstance.respondingWith(FakeInstance.json(200, PUBLISHED))) {
            assertEquals(ExitCode.INVALID_SET, publish(file.toString(), instance).exitCode());
            assertTrue(instance.recordedRequests().isEmpty());
        }
    }

    @Test
    void nextInstanceIsTriedIfTheFirstRefusesTheConnection() throws IOException {
        try (FakeInstance instance =
                FakeInstance.respondingWith(FakeInstance.json(200, PUBLISHED))) {
            CliRun run =
                    CliRun.of(
                            "publish",
                            EXAMPLE,
                            "--base=7",
                            "--operator=ops",
                            "--instance=" + refusingAddress(),
                            "--instance=" + instance.address());

            assertEquals(ExitCode.DONE, run.exitCode(), run.transcript());
        }
    }

    @Test
    void exitCodeTellsThatNoInstanceIsReachable() throws IOException {
        CliRun run =
                CliRun.of(
                        "publish",
                        EXAMPLE,
                        "--base=7",
                        "--operator=ops",
                        "--instance=" + refusingAddress());

        assertEquals(ExitCode.UNREACHABLE, run.exitCode(), run.transcript());
    }

    private static CliRun publish(String file, FakeInstance... instances) {
        return CliRun.of(
                Vector.of("publish", file, "--base=7", "--operator=ops")
                        .appendAll(
                                Vector.of(instances)
                                        .map(instance -> "--instance=" + instance.address()))
                        .toJavaArray(String[]::new));
    }

    /** Returns an address with a free port, which refuses connections. */
    private static String refusingAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
