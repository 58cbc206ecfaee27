package org.sequoiaspindle.daemon.transport.forwarding.shared;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.RegistryWatcher;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.state.ForwardingSettings;

/** Guards against requests that are executed with an API key that may have been revoked. */
final class ForwardingContextTest {

    private static final long MAX_REVOKED_KEY_MS = 5_000;
    private static final HostPort ANY_ADDRESS = new HostPort("127.0.0.1", 0);

    private final AtomicLong now = new AtomicLong(100_000);
    private final ForwardingContext context = newContext();

    @Test
    void requestWithAKeyIsAcceptedDuringPartOfTheRevocationLimit() {
        now.addAndGet(3_900);
        assertTrue(context.mayAcceptWithKey());
        now.addAndGet(200);
        assertFalse(context.mayAcceptWithKey());
    }

    @Test
    void requestWithAKeyIsSentSlightlyLongerButNotUntilTheRevocationLimit() {
        now.addAndGet(4_600);
        assertTrue(context.maySendWithKey(0));
        now.addAndGet(200);
        assertFalse(context.maySendWithKey(0));
    }

    @Test
    void requestIsNotSentIfTheConfirmationExpiresDuringTheStages() {
        now.addAndGet(3_500);
        assertTrue(context.maySendWithKey(1_000));
        assertFalse(context.maySendWithKey(1_500));
    }

    /** Creates a context whose registry has read the configuration once, at the current time. */
    private ForwardingContext newContext() {
        MillisClock clock = now::get;
        RegistryLayout layout =
                new RegistryLayout(
                        "configuration",
                        "replicas/",
                        value -> Either.right(ForwardingTable.NONE),
                        item -> Optional.empty());
        Registry registry = new Registry(layout, clock, clock, (event, fields) -> {});
        StoreChange.Written item =
                new StoreChange.Written("configuration", StoreValue.ofString("any"), 1);
        Store store =
                command ->
                        CompletableFuture.completedFuture(
                                new StoreResult.Listed(Vector.of(item), false, 1));
        Timer timer =
                (delay, task) -> {
                    if (delay == 0) {
                        task.run();
                    }
                    return () -> {};
                };
        new RegistryWatcher(store, layout, registry, timer).start(0);
        return new ForwardingContext(
                settings(),
                registry,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                null,
                clock,
                null);
    }

    private static ForwardingSettings settings() {
        return new ForwardingSettings(
                "one",
                "a",
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                ANY_ADDRESS,
                1,
                8_000,
                MAX_REVOKED_KEY_MS,
                new ForwardingSettings.RetryLimits(0.2, 10_000, 50),
                3_000,
                LogEvent.Level.INFO,
                100,
                ForwardingSettings.DEFAULT_MAX_PIECES_PER_REQUEST,
                ForwardingSettings.EndpointRules.NONE,
                ForwardingSettings.MemoryLimits.NONE);
    }
}
