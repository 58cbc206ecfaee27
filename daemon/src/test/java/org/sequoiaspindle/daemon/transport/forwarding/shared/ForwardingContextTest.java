package org.sequoiaspindle.daemon.transport.forwarding.shared;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.forwarding.replica.ReplicaStatuses;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.core.protocol.forwarding.RegistryLayout;
import org.sequoiaspindle.core.protocol.forwarding.RegistryWatcher;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.RequestKind;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.StageSpec;
import org.sequoiaspindle.daemon.state.ForwardingSettings;

/** Guards against requests that are executed with an API key that may have been revoked. */
final class ForwardingContextTest {

    private static final long MAX_REVOKED_KEY_MS = 5_000;
    private static final HostPort ANY_ADDRESS = new HostPort("127.0.0.1", 0);

    private final AtomicLong now = new AtomicLong(100_000);
    private final ForwardingContext context = newContext(ForwardingSettings.EndpointRules.NONE);

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

    /** Guards against work for the first stages of a request whose later stage has no replica. */
    @Test
    void onlyDeploymentsThatEvacuateLookForReplicasOfEveryStageThatTheRequestNeeds() {
        ForwardingContext evacuating =
                newContext(new ForwardingSettings.EndpointRules(5_000, Optional.empty(), false));
        Route route =
                new Route(
                        "r",
                        "h",
                        "/",
                        RequestKind.STREAM,
                        1_000,
                        100,
                        1,
                        List.of(),
                        1,
                        List.of(new StageSpec(0, "stage", List.of(), 1)),
                        true,
                        true,
                        false,
                        0);
        assertTrue(evacuating.lacksStageReplicas(route, requestOf(1)));
        assertFalse(evacuating.lacksStageReplicas(route, requestOf(0)));
        assertFalse(context.lacksStageReplicas(route, requestOf(1)));
    }

    private static RequestMetadata requestOf(int pieces) {
        return new RequestMetadata(
                "id",
                "h",
                "/",
                1_000,
                Optional.empty(),
                List.of(),
                0,
                0,
                List.of(pieces),
                Optional.empty());
    }

    /** Creates a context whose registry has read the configuration once, at the current time. */
    private ForwardingContext newContext(ForwardingSettings.EndpointRules rules) {
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
                settings(rules),
                registry,
                null,
                new ReplicaAnswerRecorder(new ReplicaStatuses("a"), clock, EventLog.NONE),
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

    private static ForwardingSettings settings(ForwardingSettings.EndpointRules rules) {
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
                rules,
                ForwardingSettings.MemoryLimits.NONE);
    }
}
