package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

final class InstanceEntryCodecTest {

    private static final InstanceEntry ENTRY =
            new InstanceEntry(
                    "one",
                    "a",
                    new HostPort("10.1.0.4", 7_740),
                    Optional.of(new HostPort("10.1.0.4", 7_741)),
                    36);

    @Test
    void entryIsReadAsItWasWritten() {
        assertEquals(Optional.of(ENTRY), decode(InstanceEntryCodec.encode(ENTRY).text()));
    }

    /** Guards against a process that ends because it connects to a port that does not exist. */
    @Test
    void entryWithAnAddressThatCannotExistNamesNoInstance() {
        for (String port : List.of("0", "-1", "65536", "70000", "4294967300", "7740.5", "\"7\"")) {
            assertTrue(decode(text().replace(":7740", ":" + port)).isEmpty(), port);
        }
        for (String host : List.of("999.0.0.1", "somewhere", "", "10.1.0")) {
            assertTrue(
                    decode(text().replace("\"host\":\"10.1.0.4\"", "\"host\":\"" + host + "\""))
                            .isEmpty(),
                    host);
        }
    }

    @Test
    void instanceWithAnInvalidRelayAddressIsNoReader() {
        InstanceEntry entry = decode(text().replace(":7741", ":99999")).orElseThrow();
        assertTrue(entry.relayAddress().isEmpty());
    }

    @Test
    void instanceOfAnEarlierVersionCountsAsOneCore() {
        InstanceEntry entry = decode(text().replace(",\"processorPercent\":36", "")).orElseThrow();
        assertEquals(InstanceEntry.DEFAULT_PROCESSOR_PERCENT, entry.processorPercent());
    }

    @Test
    void deeplyNestedEntryNamesNoInstance() {
        assertTrue(decode("[".repeat(100_000)).isEmpty());
        assertTrue(decode("{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000)).isEmpty());
    }

    private static String text() {
        return InstanceEntryCodec.encode(ENTRY).text();
    }

    private static Optional<InstanceEntry> decode(String text) {
        return InstanceEntryCodec.decode(
                new StoreChange.Written(
                        InstanceEntryCodec.PREFIX + "one", StoreValue.ofString(text), 1));
    }
}
