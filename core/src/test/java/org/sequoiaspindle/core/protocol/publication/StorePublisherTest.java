package org.sequoiaspindle.core.protocol.publication;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.Vector;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.fake.FakeObjectSets;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.StoreFaults;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.state.Endpoint;
import org.sequoiaspindle.core.state.ObjectSet;

/** Tests the result of a publication in single fault scenarios. */
final class StorePublisherTest {
    private static final StoreFaults LOST_RESPONSES = new StoreFaults(0, 1, 0, 0, 0);

    private final Random random = new Random(1);
    private final VirtualTime time = new VirtualTime(0, random);
    private final FakeStore store = new FakeStore(time, random);
    private final FakeObjectSets sets = new FakeObjectSets();

    @Test
    void repeatedSubmissionReturnsTheGenerationOfItsFirstPublication() {
        assertEquals(new PublishResult.Published(1), publish("a", 0));
        for (int i = 1; i < SubmissionHistory.MAX_ENTRIES; i++) {
            assertEquals(new PublishResult.Published(i + 1), publish("b" + i, i));
        }
        assertEquals(new PublishResult.Published(1), publish("a", 0));
        assertEquals(new PublishResult.Published(6), publish("b5", 5));
    }

    @Test
    void conflictNamesTheCurrentGenerationAndItsOperator() {
        publish("a", 0);
        assertEquals(new PublishResult.Conflict(1, "operator", "a"), publish("b", 0));
    }

    @Test
    void changeOfOneEndpointWritesOnePartAndTheHead() {
        publish("a", 0);
        long callsBefore = store.calls();
        publish("b", 1);
        assertEquals(3, store.calls() - callsBefore, "read of the head, one part, the head");
    }

    @Test
    void inconsistentSetMakesNoStoreCall() {
        ValidationProblem problem =
                new ValidationProblem("code", "stages", "s", "field", "message");
        ObjectSetFunctions rejectingFunctions =
                new ObjectSetFunctions(
                        sets.functions().writer(),
                        sets.functions().reader(),
                        set -> Vector.of(problem));
        PublishResult result =
                publish(publisher(store, rejectingFunctions), request("a", 0, false));
        assertEquals(new PublishResult.Invalid(Vector.of(problem)), result);
        assertEquals(0, store.calls());
    }

    @Test
    void oversizedPartIsRefusedWithTheNameOfItsKind() {
        Vector<Endpoint> endpoints =
                Vector.range(0, 20_000).map(i -> FakeObjectSets.endpoint("x".repeat(900) + i, 1));
        ObjectSet empty = ObjectSet.empty();
        ObjectSet oversizedSet =
                new ObjectSet(
                        empty.organisations(),
                        empty.operators(),
                        empty.endpointGroups(),
                        endpoints,
                        empty.stages(),
                        empty.pipelines(),
                        empty.routingRules());
        PublishResult result =
                publish(
                        publisher(store, sets.functions()),
                        new PublishRequest("operator", "a", 0, oversizedSet, false));
        PublishResult.Invalid invalid = assertInstanceOf(PublishResult.Invalid.class, result);
        assertTrue(invalid.problems().forAll(problem -> problem.kind().equals("endpoints")));
        assertEquals(0, store.calls());
    }

    @Test
    void dryRunMakesNoStoreCall() {
        PublishResult result = publish(publisher(store, sets.functions()), request("a", 0, true));
        assertEquals(new PublishResult.Checked(41), result);
        assertEquals(0, store.calls());
    }

    @Test
    void publicationDuringAnOutageIsNotRunAndNeverBecomesVisible() {
        store.setOutage(true);
        assertInstanceOf(PublishResult.NotRun.class, publish("a", 0));
        store.setOutage(false);
        time.advance(60_000);
        assertTrue(store.values(ConfigurationKeys.HEAD).isEmpty());
    }

    @Test
    void lostResponseFollowedByAnOutageIsUnknownAndARepeatedSubmissionIsPublishedOnce() {
        Store failingStore =
                command -> {
                    if (isHeadWrite(command)) {
                        store.setFaults(LOST_RESPONSES);
                        time.schedule(1_000, () -> store.setOutage(true));
                    }
                    return store.execute(command);
                };
        PublishResult firstResult =
                publish(publisher(failingStore, sets.functions()), request("a", 0, false));
        assertInstanceOf(PublishResult.Unknown.class, firstResult);
        store.setFaults(StoreFaults.NONE);
        store.setOutage(false);
        assertEquals(new PublishResult.Published(1), publish("a", 0));
        assertEquals(1, store.values(ConfigurationKeys.HEAD).size());
    }

    @Test
    void lostResponseDuringStaleReadsIsResolvedByALaterRead() {
        publish("a", 0);
        AtomicBoolean isFirstHeadWrite = new AtomicBoolean(true);
        Store failingStore =
                command -> {
                    if (isHeadWrite(command) && isFirstHeadWrite.getAndSet(false)) {
                        store.setFaults(new StoreFaults(0, 1, 0, 0, 1));
                        time.schedule(6_000, () -> store.setFaults(StoreFaults.NONE));
                    }
                    return store.execute(command);
                };
        assertEquals(
                new PublishResult.Published(2),
                publish(publisher(failingStore, sets.functions()), request("b", 1, false)));
        assertEquals(2, store.values(ConfigurationKeys.HEAD).size());
    }

    private static boolean isHeadWrite(StoreCommand command) {
        return command instanceof StoreCommand.CompareAndSwap swap
                && swap.key().equals(ConfigurationKeys.HEAD);
    }

    private PublishResult publish(String submission, long base) {
        return publish(publisher(store, sets.functions()), request(submission, base, false));
    }

    private PublishResult publish(Publisher publisher, PublishRequest request) {
        CompletableFuture<PublishResult> result = publisher.publish(request).toCompletableFuture();
        time.advance(120_000);
        return result.getNow(null);
    }

    private Publisher publisher(Store targetStore, ObjectSetFunctions functions) {
        return new StorePublisher(targetStore, time, time::now, functions, () -> 41, EventLog.NONE);
    }

    private static PublishRequest request(String submission, long base, boolean dryRun) {
        ObjectSet set = FakeObjectSets.withSlots((int) base + 1);
        return new PublishRequest("operator", submission, base, set, dryRun);
    }
}
