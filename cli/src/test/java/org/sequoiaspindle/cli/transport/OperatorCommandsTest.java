package org.sequoiaspindle.cli.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.sequoiaspindle.cli.state.ExitCode;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.SecretHash;

/** Guards against changed output, wrong exit codes and printed secrets. */
final class OperatorCommandsTest {

    private static final String EXAMPLE = "../examples/ecuries.json";

    @ParameterizedTest
    @ValueSource(strings = {"ecuries", "maji-chini"})
    void exampleHasNoProblemsAndTheDocumentedSecrets(String name) throws IOException {
        String file = "../examples/" + name + ".json";
        ObjectSet set = ObjectSetReader.read(Files.readString(Path.of(file))).get();

        assertEquals(ExitCode.DONE, CliRun.of("validate", file).exitCode());
        assertEquals(5, set.organisations().size());
        assertTrue(
                set.organisations()
                        .forAll(
                                organisation ->
                                        SecretHash.matches(
                                                "example-" + organisation.name(),
                                                organisation.secretHash())));
        assertTrue(
                set.operators()
                        .forAll(
                                operator ->
                                        SecretHash.matches(
                                                "example-" + operator.name(),
                                                operator.secretHash())));
    }

    @Test
    void helpListsCommandsOptionsAndExitCodes() {
        Approvals.verify(
                CliRun.of("--help").out()
                        + CommandTable.ALL
                                .map(
                                        command ->
                                                "\n----\n"
                                                        + CliRun.of(command.name(), "--help").out())
                                .mkString());
    }

    @Test
    void validateListsAllProblemsWithObjectFieldAndAdvice(@TempDir Path directory)
            throws IOException {
        Path file = directory.resolve("set.json");
        Files.writeString(
                file,
                """
                {
                  "operators": [{"name": "ops", "secretHash": "example-ops"}],
                  "endpointGroups": [{"name": "g", "kind": "pool", "overflow": "h"}],
                  "endpoints": [
                    {"name": "e 1", "group": "g", "dataCentre": "a", "address": "localhost:1",
                     "slots": 0, "leaving": false},
                  ],
                }
                """);
        CliRun run = CliRun.of("validate", file.toString());

        assertEquals(ExitCode.INVALID_SET, run.exitCode());
        Approvals.verify(run.transcript().replace(file.toString(), "set.json"));
    }

    @Test
    void statusFailsIfTheInstancesHaveDifferentGenerations() {
        CliRun run = runWith(FakeInstance.json(200, statusResponse(7, 6)), "status");

        assertEquals(ExitCode.CONFLICT, run.exitCode());
        Approvals.verify(run.transcript());
    }

    @Test
    void statusSucceedsIfAllInstancesHaveTheSameGeneration() {
        assertEquals(
                ExitCode.DONE,
                runWith(FakeInstance.json(200, statusResponse(7, 7)), "status").exitCode());
    }

    @Test
    void shownObjectsCanBePublishedAgain() throws IOException {
        CliRun run = runWith(FakeInstance.json(200, configurationResponse()), "show");

        assertTrue(run.out().startsWith("// generation 7\n"), run.transcript());
        assertEquals(
                ObjectSetWriter.write(example()),
                ObjectSetWriter.write(ObjectSetReader.read(run.out()).get()));
    }

    @Test
    void showSelectsOneObject() throws IOException {
        CliRun run =
                runWith(
                        FakeInstance.json(200, configurationResponse()),
                        "show",
                        "pipelines",
                        "chat");

        Approvals.verify(run.transcript());
    }

    @Test
    void showOfAnObjectThatDoesNotExistIsAUsageError() throws IOException {
        CliRun run =
                runWith(
                        FakeInstance.json(200, configurationResponse()),
                        "show",
                        "pipelines",
                        "chess");

        assertEquals(ExitCode.USAGE, run.exitCode(), run.transcript());
    }

    @Test
    void diffShowsAddedRemovedAndChangedObjects() throws IOException {
        String activeConfiguration =
                configurationResponse()
                        .replace("\"name\":\"relais\"", "\"name\":\"old-club\"")
                        .replace("\"deadlineMs\":11000", "\"deadlineMs\":9000")
                        .replace(",\"overflow\":\"generation\"", "");

        Approvals.verify(
                runWith(FakeInstance.json(200, activeConfiguration), "diff", EXAMPLE).transcript());
    }

    @Test
    void conflictNamesTheOtherOperatorAndTheBaseToUse() {
        String body = "{\"result\":\"conflict\",\"generation\":9,\"operator\":\"night-shift\"}";
        CliRun run = runWith(FakeInstance.json(409, body), "publish", EXAMPLE, "--base=7");

        assertEquals(
                "exit 3\nconflict; generation 9 of operator night-shift is in force, nothing was"
                        + " published; see 'diff', then publish with --base 9\n",
                run.transcript());
    }

    @Test
    void jsonOutputCarriesExitCodeAndResult() {
        String body = "{\"result\":\"conflict\",\"generation\":9,\"operator\":\"night-shift\"}";
        CliRun run =
                runWith(FakeInstance.json(409, body), "publish", EXAMPLE, "--base=7", "--json");

        assertEquals(
                "{\"exit\":3,\"result\":\"conflict\",\"generation\":9,\"operator\":\"night-shift\","
                        + "\"submission\":\"\",\"reason\":\"\",\"problems\":[]}\n",
                run.out());
    }

    @Test
    void hashMatchesTheSecretAndDoesNotContainTheSecret() {
        CliRun run = CliRun.of("hash-secret");

        assertTrue(SecretHash.matches(CliRun.SECRET, run.out().strip()), run.transcript());
        assertFalse(run.transcript().contains(CliRun.SECRET));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "status",
                "show",
                "diff ../examples/ecuries.json",
                "publish ../examples/ecuries.json --base=1",
                "status --json"
            })
    void secretIsNeverPrinted(String line) {
        CliRun run = runWith(FakeInstance.json(401, "{}"), line.split(" "));

        assertNotEquals(ExitCode.USAGE, run.exitCode(), run.transcript());
        assertFalse(run.transcript().contains(CliRun.SECRET), run.transcript());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "fly",
                "validate",
                "validate a b",
                "validate no-such-file",
                "publish x.json",
                "publish x.json --base one",
                "publish x.json --base -1",
                "publish x.json --base 1",
                "publish x.json --base 1 --instance localhost --operator ops",
                "publish x.json --base 1 --instance 127.0.0.1:99999 --operator ops",
                "status --instance 127.0.0.1:1 --operator ops --timeout-ms 0",
                "status --instance 127.0.0.1:1 --operator ops --operator ops",
                "status --instance 127.0.0.1:1 --operator ops --secret x",
                "show nothing --instance 127.0.0.1:1 --operator ops",
                "request chat --instance 127.0.0.1:1 --organisation o",
                "request a/b --input x --instance 127.0.0.1:1 --organisation o",
                "request chat --input @no-such-file --instance 127.0.0.1:1 --organisation o",
                "request chat --input x --max-tokens 0 --instance 127.0.0.1:1 --organisation o",
            })
    void wrongUsageIsReportedBeforeAnythingIsSent(String line) {
        CliRun run = CliRun.of(line.isEmpty() ? new String[0] : line.split(" "));

        assertEquals(ExitCode.USAGE, run.exitCode(), run.transcript());
    }

    private static CliRun runWith(FakeInstance.ScriptedResponse response, String... arguments) {
        try (FakeInstance instance = FakeInstance.respondingWith(response)) {
            return CliRun.of(
                    Vector.of(arguments)
                            .append("--operator=ops")
                            .append("--instance=" + instance.address())
                            .toJavaArray(String[]::new));
        }
    }

    private static ObjectSet example() throws IOException {
        return ObjectSetReader.read(Files.readString(Path.of(EXAMPLE))).get();
    }

    /** Returns the response of an instance on which the example set is active. */
    private static String configurationResponse() throws IOException {
        return "{\"generation\":7,\"objects\":%s}".formatted(ObjectSetWriter.write(example()));
    }

    private static String statusResponse(long firstGeneration, long secondGeneration) {
        String line =
                "{\"instance\":\"%s\",\"dataCentre\":\"er-lyon\",\"address\":\"10.0.0.1:7000\","
                        + "\"generation\":%d,\"serving\":\"serving\",\"lastHeardMillis\":%d}";
        return "{\"instance\":\"i-1\",\"generation\":%d,\"instances\":[%s,%s]}"
                .formatted(
                        firstGeneration,
                        line.formatted("i-1", firstGeneration, 0),
                        line.formatted("i-2", secondGeneration, 250));
    }
}
