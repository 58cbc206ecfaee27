package org.sequoiaspindle.core.protocol.forwarding;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.protocol.store.StoreValue;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.PromptPart;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Guards against evidence that is not shared, or that outlives a request that succeeded. */
final class CrashReporterTest {

    private final VirtualTime time = new VirtualTime(1_000, new Random(1));
    private final Registry registry = new Registry(layout(), time, time, EventLog.NONE);
    private final List<StoreCommand> commands = new ArrayList<>();
    private boolean storeReachable = true;
    private boolean replicasAlive;
    private final CrashReporter reporter =
            new CrashReporter(
                    registry,
                    store(),
                    replica -> CompletableFuture.completedFuture(replicasAlive),
                    time,
                    EventLog.NONE);

    @Test
    void crashIsWrittenForAllInstances() {
        reporter.requestLost(replica("r1"), prompt("a", "b"));
        time.advance(CrashReporter.CONFIRMATION_DELAY_MS);
        assertEquals(
                List.of(
                        new StoreCommand.CreateLease(CrashEvidence.TTL_MS),
                        new StoreCommand.WriteAll(
                                Map.of(
                                        "sequoiaspindle/crashes/a/r1@1", StoreValue.ofString("0"),
                                        "sequoiaspindle/crashes/b/r1@1", StoreValue.ofString("1")),
                                7)),
                commands);
    }

    @Test
    void crashesThatOtherInstancesWroteCount() {
        for (String replica : List.of("r1", "r2", "r3")) {
            registry.applyChange(
                    new StoreChange.Written(
                            "sequoiaspindle/crashes/b/" + replica, StoreValue.ofString("1"), 5));
        }
        time.advance(CrashEvidence.SETTLING_MS);
        assertTrue(isHarmful("b"));
        registry.applyChange(new StoreChange.Removed("sequoiaspindle/crashes/b/r2", 6));
        assertFalse(isHarmful("b"));
    }

    @Test
    void replicaThatStillAcceptsConnectionsIsNotReported() {
        replicasAlive = true;
        reporter.requestLost(replica("r1"), prompt("a", "b"));
        time.advance(CrashReporter.CONFIRMATION_DELAY_MS);
        assertTrue(commands.isEmpty());
    }

    @Test
    void partOfARequestThatSucceedsMeanwhileIsNotReported() {
        reporter.requestLost(replica("r1"), prompt("a"));
        reporter.requestServed(prompt("a", "c"));
        time.advance(CrashReporter.CONFIRMATION_DELAY_MS);
        assertTrue(commands.isEmpty());
    }

    @Test
    void successWithdrawsTheEvidenceOnce() {
        for (String replica : List.of("r1", "r2", "r3")) {
            reporter.requestLost(replica(replica), prompt("a"));
        }
        time.advance(CrashReporter.CONFIRMATION_DELAY_MS + CrashEvidence.SETTLING_MS);
        assertTrue(isHarmful("a"));
        commands.clear();
        reporter.requestServed(prompt("a"));
        reporter.requestServed(prompt("a"));
        assertEquals(
                List.of(
                        new StoreCommand.DeleteAll(
                                Set.of(
                                        "sequoiaspindle/crashes/a/r1@1",
                                        "sequoiaspindle/crashes/a/r2@1",
                                        "sequoiaspindle/crashes/a/r3@1"))),
                commands);
        assertFalse(isHarmful("a"));
    }

    @Test
    void writeIsRepeatedWhileTheStoreDoesNotRespond() {
        storeReachable = false;
        reporter.requestLost(replica("r1"), prompt("a"));
        time.advance(CrashReporter.CONFIRMATION_DELAY_MS);
        storeReachable = true;
        time.advance(CrashReporter.RETRY_DELAY_MS);
        assertTrue(commands.get(commands.size() - 1) instanceof StoreCommand.WriteAll);
    }

    @Test
    void partThatCannotBeNamedInAKeyIsNotTracked() {
        reporter.requestLost(replica("r1"), prompt("a/b", "x".repeat(100)));
        time.advance(CrashReporter.CONFIRMATION_DELAY_MS);
        assertTrue(commands.isEmpty());
    }

    private boolean isHarmful(String part) {
        return registry.crashEvidence().harmfulPart(prompt(part), time.now()).isPresent();
    }

    private Store store() {
        return command -> {
            commands.add(command);
            StoreResult result = new StoreResult.Swapped(1);
            if (!storeReachable) {
                result = new StoreResult.Unavailable("cut off");
            } else if (command instanceof StoreCommand.CreateLease) {
                result = new StoreResult.LeaseCreated(7);
            }
            return CompletableFuture.completedFuture(result);
        };
    }

    private static RegistryLayout layout() {
        return new RegistryLayout(
                "configuration",
                "replicas/",
                value -> Either.right(ForwardingTable.NONE),
                item -> Optional.empty());
    }

    private static Replica replica(String name) {
        return new Replica(
                new ReplicaId(name, 1), "pool", new HostPort("10.0.0.1", 80), "a", 1, false);
    }

    private static List<PromptPart> prompt(String... parts) {
        return Stream.of(parts).map(part -> new PromptPart(part, 10)).toList();
    }
}
