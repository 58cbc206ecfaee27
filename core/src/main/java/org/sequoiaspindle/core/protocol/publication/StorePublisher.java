package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.LongSupplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Publishes object sets in the store. A result refers only to the attempt that returned it: {@link
 * PublishResult.NotRun} means that this attempt published nothing, but an earlier attempt of the
 * same submission that ended in {@link PublishResult.Unknown} may still take effect. A submission
 * id identifies one object set. The head lists the ids of the last {@value
 * SubmissionHistory#MAX_ENTRIES} submissions.
 */
public final class StorePublisher implements Publisher {
    private final Store store;
    private final Timer timer;
    private final MillisClock wallClock;
    private final ObjectSetFunctions functions;
    private final LongSupplier activeGeneration;
    private final EventLog events;

    /**
     * @param wallClock provides the publication time of heads
     * @param activeGeneration returns the active generation of this instance. A dry run reports
     *     this generation, because a dry run makes no store call
     */
    public StorePublisher(
            Store store,
            Timer timer,
            MillisClock wallClock,
            ObjectSetFunctions functions,
            LongSupplier activeGeneration,
            EventLog events) {
        this.store = store;
        this.timer = timer;
        this.wallClock = wallClock;
        this.functions = functions;
        this.activeGeneration = activeGeneration;
        this.events = events;
    }

    @Override
    public CompletionStage<PublishResult> publish(PublishRequest request) {
        return checkAndPublish(request)
                .thenApply(
                        result -> {
                            record(request, result);
                            return result;
                        });
    }

    private CompletionStage<PublishResult> checkAndPublish(PublishRequest request) {
        Vector<ValidationProblem> problems = functions.checker().apply(request.objects());
        if (!problems.isEmpty()) {
            return CompletableFuture.completedStage(new PublishResult.Invalid(problems));
        }
        ConfigurationParts parts = ConfigurationParts.split(request.objects(), functions.writer());
        Vector<ValidationProblem> sizeProblems = findSizeProblems(parts);
        if (!sizeProblems.isEmpty()) {
            return CompletableFuture.completedStage(new PublishResult.Invalid(sizeProblems));
        }
        if (request.dryRun()) {
            return CompletableFuture.completedStage(
                    new PublishResult.Checked(activeGeneration.getAsLong()));
        }
        return new PublicationAttempt(store, timer, request, parts, wallClock.now()).run();
    }

    private static Vector<ValidationProblem> findSizeProblems(ConfigurationParts parts) {
        return parts.parts()
                .filter(part -> part.length() > StoreValue.MAX_BYTES)
                .map(
                        part ->
                                new ValidationProblem(
                                        "part-too-large",
                                        part.reference().kind(),
                                        "",
                                        "",
                                        "the objects of this kind take "
                                                + part.length()
                                                + " bytes in one part; reduce them to "
                                                + StoreValue.MAX_BYTES));
    }

    private void record(PublishRequest request, PublishResult result) {
        if (result instanceof PublishResult.Checked) {
            return;
        }
        LogEvent event =
                result instanceof PublishResult.Published
                        ? LogEvent.CONFIGURATION_PUBLISHED
                        : LogEvent.CONFIGURATION_REFUSED;
        events.record(
                event,
                HashMap.of(
                        "operator",
                        request.operator(),
                        "submission",
                        request.submissionId(),
                        "baseGeneration",
                        request.baseGeneration(),
                        "result",
                        describe(result)));
    }

    private static String describe(PublishResult result) {
        return result instanceof PublishResult.Invalid invalid
                ? "Invalid, " + invalid.problems().size() + " problems"
                : result.toString();
    }
}
