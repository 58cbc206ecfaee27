package org.sequoiaspindle.standins.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.coordination.SlotRequest;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;

/** One call at an endpoint stand-in, from the arrival to the response or the cancellation. */
public final class ActiveCall {

    private enum Phase {
        WAITING,
        RUNNING,
        ENDED
    }

    private static final String NOT_RUN_HEADER = "Sequoia-Not-Run";

    private final EndpointContext endpoint;
    private final ExecuteRequest request;
    private final HttpResponder responder;
    private final double randomValue;
    private final long arrivedAtMs;
    private final SlotRequest slotRequest;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    // The fields mode and startedAtMs are written before the phase is set to RUNNING and read
    // after that, so the phase orders the accesses.
    private Mode mode = Mode.NONE;
    private long startedAtMs;

    ActiveCall(
            EndpointContext endpoint,
            ExecuteRequest request,
            HttpResponder responder,
            double randomValue) {
        this.endpoint = endpoint;
        this.request = request;
        this.responder = responder;
        this.randomValue = randomValue;
        arrivedAtMs = endpoint.nowMs();
        slotRequest =
                endpoint.slots()
                        .newRequest(
                                request.priority(),
                                () -> scheduleUnlessFrozen(0, this::startExecution));
    }

    ExecuteRequest request() {
        return request;
    }

    HttpResponder responder() {
        return responder;
    }

    /** Returns the mode of the fault that applied when the call started. */
    Mode mode() {
        return mode;
    }

    /** Returns the number of running calls at the endpoint. */
    int runningCalls() {
        return endpoint.slots().load().running();
    }

    /** Refuses, queues or starts the call. */
    void admit() {
        if (endpoint.faults().currentFault().modeFor(randomValue) == Mode.REFUSE) {
            refuse("injected fault: call refused");
            return;
        }
        if (isPastDeadline()) {
            refuse("deadline exceeded");
            return;
        }
        responder.onDisconnect(this::cancel);
        if (!endpoint.slots().submit(slotRequest)) {
            refuse("queue is full");
            return;
        }
        request.deadlineMs()
                .ifPresent(
                        remainingMs ->
                                responder
                                        .scheduler()
                                        .schedule(
                                                remainingMs,
                                                () ->
                                                        scheduleUnlessFrozen(
                                                                0, this::refuseIfWaiting)));
    }

    /**
     * Schedules the next step of the execution; the step is skipped if the call has ended by then.
     */
    void scheduleStep(double delayMs, Runnable step) {
        double factor = endpoint.faults().currentFault().timeFactor(randomValue);
        scheduleUnlessFrozen(delayMs * factor, () -> runIfRunning(step));
    }

    /** Ends the execution: releases the slot and then runs the action that sends the response. */
    void complete(Runnable sendResponse) {
        if (!phase.compareAndSet(Phase.RUNNING, Phase.ENDED)) {
            return;
        }
        releaseSlot();
        endpoint.counters().add(EndpointStat.COMPLETED);
        sendResponse.run();
    }

    /** Ends the execution and sends the output as one JSON document. */
    void completeWithOutput(String output) {
        complete(
                () -> {
                    FullResponse response =
                            FullResponse.json(200, responseFields("output", output));
                    if (mode == Mode.ERROR) {
                        responder.send(
                                FullResponse.json(
                                        500,
                                        responseFields(
                                                "error", "injected fault: error after execution")));
                    } else if (mode == Mode.CLOSE_BEFORE_ANSWER) {
                        responder.disconnect();
                    } else if (mode == Mode.CUT) {
                        responder.sendTruncated(response);
                    } else {
                        responder.send(response);
                    }
                });
    }

    /** Returns the given field and the fields that every response carries. */
    Map<String, Object> responseFields(String name, Object value) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(name, value);
        fields.put(
                "requestId",
                mode == Mode.WRONG_ID ? "wrong-" + request.requestId() : request.requestId());
        fields.put("attempt", request.attempt());
        fields.put("load", endpoint.slots().reportedLoad());
        fields.put("leaving", endpoint.isLeaving());
        return fields;
    }

    private void startExecution() {
        if (isPastDeadline()) {
            refuseIfWaiting();
            return;
        }
        mode = endpoint.faults().currentFault().modeFor(randomValue);
        startedAtMs = endpoint.nowMs();
        if (phase.compareAndSet(Phase.WAITING, Phase.RUNNING)) {
            endpoint.counters().add(EndpointStat.STARTED);
            endpoint.executor().start(this);
        }
    }

    private void cancel() {
        Phase previousPhase = phase.getAndSet(Phase.ENDED);
        if (previousPhase == Phase.ENDED) {
            return;
        }
        endpoint.counters().add(EndpointStat.CANCELLED);
        if (previousPhase == Phase.RUNNING) {
            releaseSlot();
        } else {
            endpoint.slots().release(slotRequest);
        }
    }

    private void releaseSlot() {
        endpoint.counters().add(EndpointStat.BUSY_MS, endpoint.nowMs() - startedAtMs);
        endpoint.slots().release(slotRequest);
    }

    private void refuseIfWaiting() {
        if (phase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            endpoint.slots().release(slotRequest);
            refuse("deadline exceeded");
        }
    }

    private void refuse(String reason) {
        phase.set(Phase.ENDED);
        endpoint.counters().add(EndpointStat.REFUSED);
        FullResponse response =
                FullResponse.json(503, responseFields("error", reason))
                        .withHeader(NOT_RUN_HEADER, "true");
        endpoint.faults().runUnlessFrozen(randomValue, () -> responder.send(response));
    }

    private boolean isPastDeadline() {
        return request.deadlineMs().isPresent()
                && endpoint.nowMs() - arrivedAtMs >= request.deadlineMs().getAsLong();
    }

    private void runIfRunning(Runnable step) {
        if (phase.get() == Phase.RUNNING) {
            step.run();
        }
    }

    /**
     * Schedules a step; if the call is frozen when the delay ends, the step waits for the end of
     * the fault.
     */
    private void scheduleUnlessFrozen(double delayMs, Runnable step) {
        responder
                .scheduler()
                .schedule(delayMs, () -> endpoint.faults().runUnlessFrozen(randomValue, step));
    }
}
