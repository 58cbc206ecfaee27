package org.sequoiaspindle.daemon.protocol.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.coordination.policy.RoutingPolicies;
import org.sequoiaspindle.daemon.state.EndpointTimeouts;
import org.sequoiaspindle.daemon.state.EntrySettings;

/** Guards against accepting invalid settings and against printing secrets. */
final class EntrySettingsReaderTest {

    private static final String VALID_SETTINGS =
            """
            { // an entry instance
              "instance": "entry-1",
              "dataCentre": "north",
              "http": {"host": "0.0.0.0", "port": 0},
              "peer": {
                "host": "127.0.0.1",
                "port": 7001,
                "secret": "0123456789abcdef",
                "peers": ["127.0.0.1:7002"]
              },
              "platform": {"address": "127.0.0.1:9000"},
              "policy": "leastOutstanding",
              "endpointIdleMs": 700
            }
            """;

    @Test
    void settingsWithCommentsAreReadAndAbsentSettingsHaveDefaults() {
        EntrySettings settings = read(VALID_SETTINGS).get();
        assertEquals("entry-1", settings.instance());
        assertEquals(Vector.of("127.0.0.1:7002"), settings.peer().peers());
        assertEquals("leastOutstanding", settings.policy());
        assertEquals(new EndpointTimeouts(10_000, 700), settings.endpoint());
        assertEquals(5000, settings.drain().gracePeriodMillis());
    }

    @Test
    void everyProblemIsReportedWithItsLineAndField() {
        String invalidSettings =
                VALID_SETTINGS
                        .replace("\"entry-1\"", "\"entry 1\"")
                        .replace("\"port\": 7001", "\"port\": 70001")
                        .replace("127.0.0.1:9000", "localhost:9000")
                        .replace("leastOutstanding", "best")
                        .replace("\"endpointIdleMs\"", "\"endpointIdle\"");
        assertEquals(
                Vector.of(
                        "line 2: instance: write 1 to 64 letters, digits, dots, hyphens or"
                                + " underscores",
                        "line 7: peer.port: write a whole number from 0 to 65535",
                        "line 11: platform.address: write an IP address and a port as \"ip:port\"",
                        "line 12: policy: write one of " + RoutingPolicies.names().mkString(", "),
                        "line 13: endpointIdle: is not a setting; remove it or use one of"
                                + " bootstrapOperator, dataCentre, drainGraceMs, drainLimitMs,"
                                + " endpointFirstByteMs, endpointIdleMs, http, instance, logLevel,"
                                + " peer, platform, policy, telemetry"),
                read(invalidSettings).getLeft().map(SettingsProblem::toString));
    }

    @Test
    void brokenJsonIsReportedWithItsLine() {
        assertEquals(3, read("{\n\"instance\": \"a\",\n?}").getLeft().head().line());
        assertEquals(2, read("{\"a\": 1,\n\"a\": 2}").getLeft().head().line());
        assertEquals(1, read("").getLeft().head().line());
    }

    @Test
    void secretMayBeReadFromAFile() {
        String settingsWithFile =
                VALID_SETTINGS.replace("\"secret\": \"0123456789abcdef\"", "\"secretFile\": \"f\"");
        assertEquals(
                "a secret out of a file",
                EntrySettingsReader.read(
                                settingsWithFile, name -> Either.right("a secret out of a file\n"))
                        .get()
                        .peer()
                        .secret());
        assertEquals(
                "line 8: peer.secretFile: no such file",
                read(settingsWithFile).getLeft().head().toString());
    }

    @Test
    void secretIsNeverPrinted() {
        assertFalse(read(VALID_SETTINGS).get().toString().contains("0123456789abcdef"));
    }

    @Property(seed = "4711", tries = 300)
    void anyTextIsReadOrReportedWithoutAnException(@ForAll String text) {
        read(text);
        read(VALID_SETTINGS.replace("\"north\"", text));
    }

    private static Either<Vector<SettingsProblem>, EntrySettings> read(String text) {
        return EntrySettingsReader.read(text, name -> Either.left("no such file"));
    }
}
