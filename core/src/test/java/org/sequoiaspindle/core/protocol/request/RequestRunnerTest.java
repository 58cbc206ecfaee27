package org.sequoiaspindle.core.protocol.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.vavr.collection.HashSet;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicLong;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.policy.RoutingPolicies;
import org.sequoiaspindle.core.coordination.retry.RetryBudget;
import org.sequoiaspindle.core.coordination.retry.RetryRule;
import org.sequoiaspindle.core.coordination.routing.GroupSchedulers;
import org.sequoiaspindle.core.fake.FaultyEndpoints;
import org.sequoiaspindle.core.fake.SampleObjectSet;
import org.sequoiaspindle.core.fake.VirtualTime;
import org.sequoiaspindle.core.state.Outcome;
import org.sequoiaspindle.core.state.RequestId;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.core.state.SnapshotHolder;

/**
 * Tests that callers of faulty endpoints never receive mixed, repeated or truncated answers, that
 * an executed request is never reported as not run, and that extra attempts stay within the retry
 * budget.
 */
final class RequestRunnerTest {

    private static final long START_MS = 1_000;
    private static final String SEED = "20261204";
    private static final List<String> ORGANISATIONS = List.of("county", "drillers", "farms");

    /** A request with the streamed text and the answer that the caller received. */
    private record SentRequest(
            CallerRequest request, StringBuilder streamedText, CompletableFuture<Answer> answer) {}

    @Property(seed = SEED, tries = 200)
    void callerNeverReceivesAnotherRequestsAnswer(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 60) int faultPercent) {
        Simulation simulation = new Simulation(seed, faultPercent);
        for (SentRequest sentRequest : simulation.run("chat", 40)) {
            Answer answer = sentRequest.answer().getNow(null);
            assertTrue(answer != null, "every request ends by its deadline");
            if (answer.outcome() == Outcome.ANSWERED) {
                assertEquals(chatAnswer(sentRequest.request().input()), answer.output());
                assertEquals(answer.output(), sentRequest.streamedText().toString());
            } else {
                assertTrue(
                        chatAnswer(sentRequest.request().input())
                                .startsWith(sentRequest.streamedText().toString()),
                        "text streamed before a failure is a prefix of the full answer");
            }
        }
    }

    @Property(seed = SEED, tries = 200)
    void requestAnsweredAsNotRunWasNeverExecuted(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 100) int faultPercent) {
        Simulation simulation = new Simulation(seed, faultPercent);
        for (String pipeline : List.of("payment", "chat")) {
            for (SentRequest sentRequest : simulation.run(pipeline, 40)) {
                Answer answer = sentRequest.answer().getNow(null);
                if (answer.outcome() == Outcome.NOT_RUN) {
                    assertEquals(0, simulation.endpoints.executions(answer.requestId()));
                }
            }
        }
    }

    @Property(seed = SEED, tries = 200)
    void nonIdempotentRequestIsExecutedAtMostOnce(
            @ForAll long seed, @ForAll @IntRange(min = 0, max = 100) int faultPercent) {
        Simulation simulation = new Simulation(seed, faultPercent);
        for (SentRequest sentRequest : simulation.run("payment", 40)) {
            RequestId id = sentRequest.answer().getNow(null).requestId();
            assertTrue(simulation.endpoints.executions(id) <= 1);
        }
    }

    @Property(seed = SEED, tries = 50)
    void extraAttemptsStayWithinTheBudget(@ForAll long seed) {
        Simulation simulation = new Simulation(seed, 100);
        int requests = simulation.run("chat", 200).size();
        long firstAttempts = simulation.firstAttempts();
        long notSent = simulation.notSentReports();
        long extraAttempts = simulation.endpoints.calls().size() - firstAttempts - notSent;
        assertTrue(requests > 0 && extraAttempts <= firstAttempts / 10 + RetryBudget.INITIAL_EXTRA);
    }

    private static String chatAnswer(String input) {
        return FaultyEndpoints.answerTo("generate", FaultyEndpoints.answerTo("retrieve", input));
    }

    /** A request runner on virtual time with faulty endpoints. */
    private static final class Simulation {

        private final VirtualTime time = new VirtualTime(START_MS, new Random(1));
        private final FaultyEndpoints endpoints;
        private final RequestRunner runner;
        private final List<Answer> answers = new ArrayList<>();

        Simulation(long seed, int faultPercent) {
            endpoints = new FaultyEndpoints(time, seed, faultPercent);
            Snapshot snapshot = Snapshot.of(1, SampleObjectSet.withEndpoints(4, 8));
            SnapshotHolder snapshots = new SnapshotHolder();
            snapshots.adopt(snapshot);
            GroupSchedulers groups =
                    new GroupSchedulers(
                            SampleObjectSet.DATA_CENTRE, RoutingPolicies.chosen(), time, time);
            groups.reconfigure(snapshot, HashSet.empty(), 1);
            AtomicLong ids = new AtomicLong();
            RequestDependencies dependencies =
                    new RequestDependencies(
                            groups,
                            endpoints,
                            Spillover.NONE,
                            RetryRule.SAFE,
                            HedgeRule.afterPredictedTime(1, 20),
                            new RetryBudget(0.1),
                            time,
                            time,
                            SpanTracer.NONE,
                            EventLog.NONE,
                            () -> new RequestId("r" + ids.incrementAndGet()),
                            record -> answers.add(record.answer()));
            runner = new RequestRunner(snapshots, dependencies, IdempotencyGuard.NONE, () -> 1.0);
        }

        List<SentRequest> run(String pipeline, int count) {
            List<SentRequest> sentRequests = new ArrayList<>();
            for (int index = 0; index < count; index++) {
                String organisation = ORGANISATIONS.get(index % ORGANISATIONS.size());
                sentRequests.add(send(organisation, pipeline, organisation + " asks " + index));
                time.advance(3);
            }
            time.advance(10_000);
            return sentRequests;
        }

        private SentRequest send(String organisation, String pipeline, String input) {
            CallerRequest request =
                    new CallerRequest(
                            organisation,
                            SampleObjectSet.secret(organisation),
                            pipeline,
                            input,
                            FaultyEndpoints.TOKENS,
                            Option.none(),
                            Option.none(),
                            "");
            StringBuilder streamedText = new StringBuilder();
            CompletableFuture<Answer> answer =
                    runner.handle(
                                    request,
                                    token -> {
                                        streamedText.append(token.text());
                                        return true;
                                    })
                            .toCompletableFuture();
            return new SentRequest(request, streamedText, answer);
        }

        long firstAttempts() {
            return endpoints.calls().stream()
                    .map(call -> call.requestId() + "/" + call.stage())
                    .distinct()
                    .count();
        }

        long notSentReports() {
            return answers.stream()
                    .flatMap(answer -> answer.attempts().toJavaStream())
                    .filter(report -> report.result().equals("NotSent"))
                    .count();
        }
    }
}
