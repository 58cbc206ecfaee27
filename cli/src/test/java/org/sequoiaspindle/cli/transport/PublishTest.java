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

/** Guards against publications that are reported wrongly or repeated under another id. */
final class PublishTest {

    private static final String EXAMPLE = "../examples/ecuries.json";
    private static final String PUBLISHED = "{\"result\":\"published\",\"generation\":8}";
    private static final String UNKNOWN = "{\"result\":\"unknown\",\"reason\":\"store silent\"}";
    private static final String NOT_RUN = "{\"result\":\"notRun\",\"reason\":\"store down\"}";

    @Test
    void publishedSetIsSentCanonicallyWithBaseSubmissionAndCredential() throws IOException {
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.json(200, PUBLISHED))) {
            CliRun run = publish(EXAMPLE, instance);
            FakeInstance.Received received = instance.received().head();

            assertEquals(ExitCode.DONE, run.exit(), run.all());
            assertEquals(
                    "/v1/configuration?base=7&submission=submission-1&dryRun=false",
                    received.uri());
            assertEquals(
                    "Bearer ops:" + CliRun.SECRET, received.headers().getFirst("Authorization"));
            assertEquals(
                    ObjectSetWriter.write(
                            ObjectSetReader.read(Files.readString(Path.of(EXAMPLE))).get()),
                    received.body());
        }
    }

    @Test
    void unknownResultIsRepeatedWithTheSameSubmissionOnTheNextInstance() {
        try (FakeInstance first = FakeInstance.answering(FakeInstance.json(200, UNKNOWN));
                FakeInstance second = FakeInstance.answering(FakeInstance.json(200, PUBLISHED))) {
            CliRun run = publish(EXAMPLE, first, second);

            assertEquals(ExitCode.DONE, run.exit(), run.all());
            assertEquals(first.received().head().uri(), second.received().head().uri());
        }
    }

    @Test
    void silentInstanceLeavesTheResultUnknownAfterThreeRepetitions() {
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.silent())) {
            CliRun run =
                    CliRun.of(
                            "publish",
                            EXAMPLE,
                            "--base=7",
                            "--operator=ops",
                            "--timeout-ms=100",
                            "--instance=" + instance.address());

            assertEquals(ExitCode.UNKNOWN, run.exit(), run.all());
            assertTrue(run.out().contains("--submission submission-1"), run.out());
            assertEquals(4, instance.received().size());
        }
    }

    @Test
    void notRunAfterAnUnknownResultStaysUnknown() {
        try (FakeInstance instance =
                FakeInstance.answering(
                        FakeInstance.json(200, UNKNOWN), FakeInstance.json(503, NOT_RUN))) {
            assertEquals(ExitCode.UNKNOWN, publish(EXAMPLE, instance).exit());
        }
    }

    @Test
    void notRunAtFirstIsReportedAsNotRunWithoutRepetition() {
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.json(503, NOT_RUN))) {
            assertEquals(ExitCode.NOT_RUN, publish(EXAMPLE, instance).exit());
            assertEquals(1, instance.received().size());
        }
    }

    @Test
    void dryRunWithoutAResultIsNotReportedAsPerhapsPublished() {
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.json(200, UNKNOWN))) {
            CliRun run =
                    CliRun.of(
                            "publish",
                            EXAMPLE,
                            "--base=7",
                            "--dry-run",
                            "--operator=ops",
                            "--instance=" + instance.address());

            assertEquals(ExitCode.NOT_RUN, run.exit(), run.all());
            assertTrue(instance.received().head().uri().endsWith("&dryRun=true"));
        }
    }

    @Test
    void conflictWithOurOwnSubmissionCountsAsPublished() {
        String ours =
                "{\"result\":\"conflict\",\"generation\":8,\"operator\":\"ops\","
                        + "\"submission\":\"submission-1\"}";
        try (FakeInstance instance =
                FakeInstance.answering(
                        FakeInstance.json(200, UNKNOWN), FakeInstance.json(409, ours))) {
            assertEquals(ExitCode.DONE, publish(EXAMPLE, instance).exit());
        }
    }

    @Test
    void wrongCredentialIsReportedAsNotRun() {
        String body = "{\"result\":\"notRun\",\"reason\":\"send a credential\"}";
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.json(401, body))) {
            CliRun run = publish(EXAMPLE, instance);

            assertEquals(ExitCode.NOT_RUN, run.exit(), run.all());
            assertTrue(run.out().contains("check the name and the secret"), run.out());
        }
    }

    @Test
    void inconsistentSetIsNeverSent(@TempDir Path directory) throws IOException {
        Path file = Files.writeString(directory.resolve("set.json"), "{\"stages\": 5}");
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.json(200, PUBLISHED))) {
            assertEquals(ExitCode.INVALID_SET, publish(file.toString(), instance).exit());
            assertTrue(instance.received().isEmpty());
        }
    }

    @Test
    void nextInstanceIsTriedWhenOneRefusesTheConnection() throws IOException {
        try (FakeInstance instance = FakeInstance.answering(FakeInstance.json(200, PUBLISHED))) {
            CliRun run =
                    CliRun.of(
                            "publish",
                            EXAMPLE,
                            "--base=7",
                            "--operator=ops",
                            "--instance=" + refusingAddress(),
                            "--instance=" + instance.address());

            assertEquals(ExitCode.DONE, run.exit(), run.all());
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

        assertEquals(ExitCode.UNREACHABLE, run.exit(), run.all());
    }

    private static CliRun publish(String file, FakeInstance... instances) {
        return CliRun.of(
                Vector.of("publish", file, "--base=7", "--operator=ops")
                        .appendAll(
                                Vector.of(instances)
                                        .map(instance -> "--instance=" + instance.address()))
                        .toJavaArray(String[]::new));
    }

    /** Address whose port was free a moment ago. */
    private static String refusingAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }
}
