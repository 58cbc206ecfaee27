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
import org.sequoiaspindle.core.protocol.publication.PublicationRace.PublisherMaker;
import org.sequoiaspindle.core.protocol.store.StoreReader;

/**
 * Guards against two winners of one generation, lost publications that were reported as accepted,
 * and publications that become visible after they were reported as not run.
 */
final class PublicationRaceTest {
    private static final PublisherMaker PUBLISHER =
            (store, scheduler, functions) ->
                    new StorePublisher(
                            store, scheduler, () -> 0, functions, () -> 0, EventLog.NONE);
    private static final PublisherMaker NAIVE =
            (store, scheduler, functions) ->
                    new NaivePublisher(store, new StoreReader(store, scheduler), functions);

    @Property(tries = 400, seed = "4", shrinking = ShrinkingMode.OFF)
    void racingOperatorsNeverBothWinOneGeneration(@ForAll long seed) {
        assertEquals(Option.none(), new PublicationRace(seed).violation(PUBLISHER));
    }

    @Test
    void racesEndInEveryKindOfResult() {
        Vector<PublicationRace> races = Vector.range(0, 100).map(PublicationRace::new);
        races.forEach(race -> race.violation(PUBLISHER));
        assertTrue(races.exists(race -> race.count(PublishResult.Unknown.class) > 0));
        assertTrue(races.exists(race -> race.count(PublishResult.NotRun.class) > 0));
        assertTrue(races.exists(race -> race.count(PublishResult.Conflict.class) > 0));
        assertTrue(races.forAll(race -> race.count(PublishResult.Published.class) > 0));
    }

    @Test
    void publisherThatTrustsTheFirstAnswerBreaksTheSameGuarantee() {
        Option<String> violation =
                Stream.range(0, 100)
                        .flatMap(seed -> new PublicationRace(seed).violation(NAIVE))
                        .headOption();
        System.out.println("naive publisher: " + violation.getOrElse("no violation"));
        assertTrue(violation.isDefined());
    }
}
