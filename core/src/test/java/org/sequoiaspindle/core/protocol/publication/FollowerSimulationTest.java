package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Stream;
import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.protocol.publication.FollowerSimulation.InstanceFactory;
import org.sequoiaspindle.core.protocol.publication.FollowerSimulation.SimulatedInstance;
import org.sequoiaspindle.core.state.SnapshotHolder;

/**
 * Tests that instances never return to an older configuration, never adopt a set that was not
 * published, and all reach the last generation after the faults have ended.
 */
final class FollowerSimulationTest {
    private static final InstanceFactory FOLLOWER =
            (store, scheduler, watching, functions, announce) -> {
                SnapshotHolder holder = new SnapshotHolder();
                ConfigurationFollower follower =
                        new ConfigurationFollower(
                                store,
                                scheduler,
                                () -> 0,
                                () -> 0.5,
                                () -> watching,
                                functions,
                                holder,
                                announce,
                                EventLog.NONE);
                follower.start();
                return new SimulatedInstance(
                        follower,
                        () -> holder.current().generation(),
                        () -> holder.current().objects(),
                        follower::activeConfiguration);
            };
    private static final InstanceFactory NAIVE =
            (store, scheduler, watching, functions, announce) -> {
                NaiveFollower follower = new NaiveFollower(store, scheduler, functions);
                follower.poll();
                return follower.toSimulatedInstance();
            };

    @Property(tries = 300, seed = "5", shrinking = ShrinkingMode.OFF)
    void instancesNeverRevertAndAllReachTheLastGeneration(@ForAll long seed) {
        assertEquals(Option.none(), new FollowerSimulation(seed).findViolation(FOLLOWER));
    }

    @Test
    void followerThatAdoptsEveryHeadViolatesTheGuarantee() {
        Option<String> violation =
                Stream.range(0, 100)
                        .flatMap(seed -> new FollowerSimulation(seed).findViolation(NAIVE))
                        .headOption();
        System.out.println("naive follower: " + violation.getOrElse("no violation"));
        assertTrue(violation.isDefined());
    }
}
