package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Stream;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.protocol.publication.PublicationRaceSimulation.PublisherFactory;
import org.sequoiaspindle.core.protocol.store.StoreReader;

/**
 * Tests that concurrent operators never publish the same generation twice, that a publication
 * reported as published is not lost, and that a publication reported as not run never becomes
 * visible.
 */
final class PublicationRaceTest {
    private static final PublisherFactory PUBLISHER =
            (store, scheduler, functions) ->
                    new StorePublisher(
                            store, scheduler, () -> 0, functions, () -> 0, EventLog.NONE);
    private static final PublisherFactory NAIVE =
            (store, scheduler, functions) ->
                    new NaivePublisher(store, new StoreReader(store, scheduler), functions);

    @Property(tries = 400, seed = "4", shrinking = ShrinkingMode.OFF)
    void concurrentOperatorsNeverPublishTheSameGeneration(@ForAll long seed) {
        assertEquals(Option.none(), new PublicationRaceSimulation(seed).findViolation(PUBLISHER));
    }

    @Test
    void simulationProducesEveryKindOfResult() {
        Vector<PublicationRaceSimulation> races =
                Vector.range(0, 100).map(PublicationRaceSimulation::new);
        races.forEach(race -> race.findViolation(PUBLISHER));
        assertTrue(races.exists(race -> race.count(PublishResult.Unknown.class) > 0));
        assertTrue(races.exists(race -> race.count(PublishResult.NotRun.class) > 0));
        assertTrue(races.exists(race -> race.count(PublishResult.Conflict.class) > 0));
        assertTrue(races.forAll(race -> race.count(PublishResult.Published.class) > 0));
    }

    @Test
    void publisherThatTrustsTheFirstResponseViolatesTheGuarantee() {
        Option<String> violation =
                Stream.range(0, 100)
                        .flatMap(seed -> new PublicationRaceSimulation(seed).findViolation(NAIVE))
                        .headOption();
        System.out.println("naive publisher: " + violation.getOrElse("no violation"));
        assertTrue(violation.isDefined());
    }
}
