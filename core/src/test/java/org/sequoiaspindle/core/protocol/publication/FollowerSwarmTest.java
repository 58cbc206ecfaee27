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
import org.sequoiaspindle.core.protocol.publication.FollowerSwarm.Member;
import org.sequoiaspindle.core.protocol.publication.FollowerSwarm.MemberMaker;
import org.sequoiaspindle.core.state.SnapshotHolder;

/**
 * Guards against instances that go back to an older configuration, hold a set that was never
 * published, or are left behind after the faults have ended.
 */
final class FollowerSwarmTest {
    private static final MemberMaker FOLLOWER =
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
                return new Member(
                        follower,
                        () -> holder.current().generation(),
                        () -> holder.current().objects(),
                        follower::held);
            };
    private static final MemberMaker NAIVE =
            (store, scheduler, watching, functions, announce) -> {
                NaiveFollower follower = new NaiveFollower(store, scheduler, functions);
                follower.poll();
                return follower.member();
            };

    @Property(tries = 300, seed = "5", shrinking = ShrinkingMode.OFF)
    void instancesNeverGoBackAndAllReachTheLastGeneration(@ForAll long seed) {
        assertEquals(Option.none(), new FollowerSwarm(seed).violation(FOLLOWER));
    }

    @Test
    void instanceThatAdoptsWhateverItHearsLastBreaksTheSameGuarantee() {
        Option<String> violation =
                Stream.range(0, 100)
                        .flatMap(seed -> new FollowerSwarm(seed).violation(NAIVE))
                        .headOption();
        System.out.println("naive follower: " + violation.getOrElse("no violation"));
        assertTrue(violation.isDefined());
    }
}
