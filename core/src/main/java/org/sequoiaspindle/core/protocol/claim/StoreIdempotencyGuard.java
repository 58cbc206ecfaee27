package org.sequoiaspindle.core.protocol.claim;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.coordination.claim.RecordedOutcome;
import org.sequoiaspindle.core.protocol.publication.Sha256;
import org.sequoiaspindle.core.protocol.request.Answer;
import org.sequoiaspindle.core.protocol.request.IdempotencyGuard;
import org.sequoiaspindle.core.protocol.request.OutcomeReason;
import org.sequoiaspindle.core.protocol.request.RequestPlan;
import org.sequoiaspindle.core.state.Outcome;

/**
 * Executes a request with a non-idempotent stage only after claiming its idempotency key, and
 * answers repeats of the request with the recorded outcome.
 */
public final class StoreIdempotencyGuard implements IdempotencyGuard {

    /** Maximum time for which an answer waits until the outcome is recorded, in milliseconds. */
    private static final long MAX_RECORDING_DELAY_MS = 200;

    private final ClaimService claimService;
    private final Timer timer;

    public StoreIdempotencyGuard(ClaimService claimService, Timer timer) {
        this.claimService = claimService;
        this.timer = timer;
    }

    @Override
    public CompletionStage<Answer> runOnce(
            RequestPlan plan, Supplier<CompletionStage<Answer>> run) {
        Option<String> key = plan.claimKey();
        if (key.isEmpty()) {
            return run.get();
        }
        return claimService
                .claim(plan.organisation().name(), key.get(), digest(plan))
                .thenCompose(
                        result ->
                                result instanceof ClaimResult.Granted granted
                                        ? runAndRecord(plan, granted.heldClaim(), run)
                                        : CompletableFuture.completedStage(answer(plan, result)));
    }

    private CompletionStage<Answer> runAndRecord(
            RequestPlan plan, HeldClaim heldClaim, Supplier<CompletionStage<Answer>> run) {
        return run.get()
                .thenCompose(
                        answer ->
                                timer.withTimeout(
                                        finishOrRelease(plan, heldClaim, answer)
                                                .thenApply(ignored -> answer),
                                        MAX_RECORDING_DELAY_MS,
                                        () -> answer));
    }

    private CompletionStage<Boolean> finishOrRelease(
            RequestPlan plan, HeldClaim heldClaim, Answer answer) {
        if (mayBeRepeated(plan, answer)) {
            return claimService.release(heldClaim);
        }
        return claimService.finish(
                heldClaim,
                RecordedOutcome.of(answer.outcome(), answer.output(), answer.reason().name()));
    }

    /** Returns whether the request may be executed again: no non-idempotent stage was executed. */
    private static boolean mayBeRepeated(RequestPlan plan, Answer answer) {
        if (answer.outcome() == Outcome.NOT_RUN) {
            return true;
        }
        if (answer.outcome() == Outcome.ANSWERED || answer.outcome() == Outcome.UNKNOWN) {
            return false;
        }
        Vector<String> nonIdempotent =
                plan.stages()
                        .map(RequestPlan.PlannedStage::stage)
                        .filter(stage -> !stage.idempotent())
                        .map(stage -> stage.name());
        return answer.attempts()
                .filter(report -> nonIdempotent.contains(report.stage()))
                .forAll(report -> report.provablyNotRun());
    }

    private static Answer answer(RequestPlan plan, ClaimResult result) {
        if (result instanceof ClaimResult.Replay replay) {
            return replayed(plan, replay.outcome());
        }
        if (result instanceof ClaimResult.InUse) {
            return unknown(plan, "a request with this key is in progress or was interrupted");
        }
        if (result instanceof ClaimResult.Expired) {
            return unknown(plan, "the key is too old; an earlier use of it may have run");
        }
        if (result instanceof ClaimResult.Malformed) {
            return notRun(
                    plan,
                    OutcomeReason.MALFORMED,
                    "the key must be <issue time, Unix ms>-<random> and not lie in the future");
        }
        if (result instanceof ClaimResult.DigestMismatch) {
            return notRun(
                    plan, OutcomeReason.MALFORMED, "the key was used for a different request");
        }
        return notRun(plan, OutcomeReason.STORE_UNAVAILABLE, "the key could not be claimed");
    }

    private static Answer replayed(RequestPlan plan, RecordedOutcome recordedOutcome) {
        if (!recordedOutcome.answerComplete()) {
            return unknown(plan, "the request ran, but its answer was too long to be kept");
        }
        OutcomeReason reason =
                recordedOutcome.reason().isEmpty()
                        ? OutcomeReason.NONE
                        : OutcomeReason.valueOf(recordedOutcome.reason());
        return answer(
                plan,
                recordedOutcome.outcome(),
                reason,
                "recorded outcome",
                recordedOutcome.answer());
    }

    private static Answer unknown(RequestPlan plan, String detail) {
        return answer(plan, Outcome.UNKNOWN, OutcomeReason.KEY_IN_USE, detail, "");
    }

    private static Answer notRun(RequestPlan plan, OutcomeReason reason, String detail) {
        return answer(plan, Outcome.NOT_RUN, reason, detail, "");
    }

    private static Answer answer(
            RequestPlan plan, Outcome outcome, OutcomeReason reason, String detail, String output) {
        return new Answer(
                plan.id(), outcome, reason, detail, output, plan.generation(), Vector.empty());
    }

    private static String digest(RequestPlan plan) {
        return Sha256.of(plan.pipeline().name() + "\n" + plan.maxTokens() + "\n" + plan.input());
    }
}
