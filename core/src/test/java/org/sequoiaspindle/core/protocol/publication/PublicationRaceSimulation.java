package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashSet;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.fake.FakeObjectSets;
import org.sequoiaspindle.core.fake.FakeProcess;
import org.sequoiaspindle.core.fake.FakeStore;
import org.sequoiaspindle.core.fake.StoreFaults;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.protocol.store.Store;

/**
 * Simulates several operators that publish concurrently, each through its own instance, while the
 * store is faulty. The seed determines the run.
 */
final class PublicationRaceSimulation {
    private static final int OPERATORS = 4;
    private static final int SUBMISSIONS = 8;
    private static final long FAULT_PHASE_MS = 300_000;
    private static final long RECOVERY_PHASE_MS = 120_000;

    private final Random random;
    private final VirtualTime time;
    private final FakeStore store;
    private final FakeObjectSets sets = new FakeObjectSets();
    private final List<ReportedResult> reportedResults = new ArrayList<>();

    PublicationRaceSimulation(long seed) {
        random = new Random(seed);
        time = new VirtualTime(0, random);
        store = new FakeStore(time, random);
    }

    /** Creates the publisher under test. */
    interface PublisherFactory {
        Publisher create(Store store, Timer timer, ObjectSetFunctions functions);
    }

    private record ReportedResult(String submission, PublishResult result) {}

    /** Runs the simulation and returns the first violated guarantee. */
    Option<String> findViolation(PublisherFactory factory) {
        store.setFaults(StoreFaults.MANY);
        for (int operator = 0; operator < OPERATORS; operator++) {
            FakeProcess process = new FakeProcess(time);
            Publisher publisher =
                    factory.create(process.store(store), process.timer(), sets.functions());
            submit(publisher, operator, 0, 0);
            scheduleFaults(process);
        }
        time.advance(FAULT_PHASE_MS);
        store.setFaults(StoreFaults.NONE);
        time.advance(RECOVERY_PHASE_MS);
        return checkHistory(history());
    }

    private void scheduleFaults(FakeProcess process) {
        time.schedule(random.nextInt(20_000), () -> process.pause(random.nextInt(10_000)));
        long outage = random.nextInt(20_000);
        time.schedule(outage, () -> store.setOutage(true));
        time.schedule(outage + random.nextInt(5_000), () -> store.setOutage(false));
        long freeze = random.nextInt(20_000);
        time.schedule(freeze, () -> store.setFrozen(true));
        time.schedule(freeze + random.nextInt(40_000), () -> store.setFrozen(false));
    }

    private void submit(Publisher publisher, int operator, int number, long base) {
        if (number == SUBMISSIONS) {
            return;
        }
        String id = "submission-" + operator + "-" + number;
        PublishRequest request =
                new PublishRequest(
                        "operator-" + operator,
                        id,
                        base,
                        FakeObjectSets.withSlots(operator * SUBMISSIONS + number + 1),
                        false);
        send(publisher, request, operator, number, 3);
    }

    private void send(
            Publisher publisher, PublishRequest request, int operator, int number, int repeats) {
        publisher
                .publish(request)
                .thenAccept(
                        result -> {
                            reportedResults.add(new ReportedResult(request.submissionId(), result));
                            if (result instanceof PublishResult.Unknown && repeats > 0) {
                                send(publisher, request, operator, number, repeats - 1);
                                return;
                            }
                            long base = nextBase(result, request.baseGeneration());
                            time.schedule(
                                    random.nextInt(5_000),
                                    () -> submit(publisher, operator, number + 1, base));
                        });
    }

    private static long nextBase(PublishResult result, long base) {
        if (result instanceof PublishResult.Published published) {
            return published.generation();
        }
        return result instanceof PublishResult.Conflict conflict
                ? conflict.currentGeneration()
                : base;
    }

    private Vector<ConfigurationHead> history() {
        return Vector.ofAll(store.values(ConfigurationKeys.HEAD))
                .map(text -> HeadReader.read(text).get());
    }

    private Option<String> checkHistory(Vector<ConfigurationHead> history) {
        Vector<Long> generations = history.map(ConfigurationHead::generation);
        if (!generations.equals(Vector.rangeClosed(1L, (long) history.size()))) {
            return Option.some("generations are not consecutive: " + generations);
        }
        Set<String> unknownSubmissions =
                Vector.ofAll(reportedResults)
                        .filter(
                                reportedResult ->
                                        reportedResult.result() instanceof PublishResult.Unknown)
                        .map(ReportedResult::submission)
                        .toSet();
        Option<ReportedResult> wrongResult =
                Vector.ofAll(reportedResults)
                        .find(
                                reportedResult ->
                                        !isConsistentWith(
                                                reportedResult, history, unknownSubmissions));
        return wrongResult
                .map(reportedResult -> reportedResult + " but the history is " + ids(history))
                .orElse(() -> history.find(head -> !hasParts(head)).map(h -> "no part: " + h));
    }

    private boolean hasParts(ConfigurationHead head) {
        return head.parts()
                .forAll(
                        part ->
                                HashSet.ofAll(store.values(ConfigurationKeys.part(part.digest())))
                                        .exists(text -> Sha256.of(text).equals(part.digest())));
    }

    /**
     * Returns true if the history agrees with a result. A result that follows an unknown result of
     * the same submission refers only to the attempt that returned it.
     */
    private static boolean isConsistentWith(
            ReportedResult reportedResult,
            Vector<ConfigurationHead> history,
            Set<String> unknownSubmissions) {
        Option<ConfigurationHead> publishedHead =
                history.find(head -> head.submissionId().equals(reportedResult.submission()));
        if (reportedResult.result() instanceof PublishResult.Published published) {
            return publishedHead.exists(head -> head.generation() == published.generation());
        }
        return reportedResult.result() instanceof PublishResult.Unknown
                || publishedHead.isEmpty()
                || unknownSubmissions.contains(reportedResult.submission());
    }

    private static Vector<String> ids(Vector<ConfigurationHead> history) {
        return history.map(head -> head.submissionId() + "@" + head.generation());
    }

    /** Returns the number of results of a kind, to check that the simulation produces this kind. */
    int count(Class<? extends PublishResult> kind) {
        return Vector.ofAll(reportedResults)
                .count(reportedResult -> kind.isInstance(reportedResult.result()));
    }
}
