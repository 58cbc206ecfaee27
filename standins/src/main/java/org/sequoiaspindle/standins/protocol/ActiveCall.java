package org.sequoiaspindle.standins.protocol;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.standins.coordination.Ticket;
import org.sequoiaspindle.standins.state.EndpointFault.Mode;

/** One call in an endpoint, from its arrival to its answer, refusal or cancellation. */
public final class ActiveCall {

    private enum Phase {
        WAITING,
        RUNNING,
        ENDED
    }

    private static final String NOT_RUN_HEADER = "Sequoia-Not-Run";

    private final EndpointState endpoint;
    private final ExecuteCall request;
    private final Exchange exchange;
    private final double draw;
    private final long arrivedAtMs;
    private final Ticket ticket;
    private final AtomicReference<Phase> phase = new AtomicReference<>(Phase.WAITING);
    // Written before the phase becomes RUNNING and read after that, which orders the accesses.
    private Mode mode = Mode.NONE;
    private long startedAtMs;

    ActiveCall(EndpointState endpoint, ExecuteCall request, Exchange exchange, double draw) {
        this.endpoint = endpoint;
        this.request = request;
        this.exchange = exchange;
        this.draw = draw;
        arrivedAtMs = endpoint.nowMs();
        ticket = endpoint.slots().ticket(request.priority(), () -> next(0, this::begin));
    }

    ExecuteCall request() {
        return request;
    }

    Exchange exchange() {
        return exchange;
    }

    /** Mode of the fault that hit the call when it started. */
    Mode mode() {
        return mode;
    }

    /** Number of calls that run in the endpoint. */
    int runningCalls() {
        return endpoint.slots().load().running();
    }

    /** Refuses the call, queues it or starts it. */
    void arrive() {
        if (endpoint.faults().current().modeFor(draw) == Mode.REFUSE) {
            refuse("ordered to refuse");
            return;
        }
        if (isPastDeadline()) {
            refuse("deadline has passed");
            return;
        }
        exchange.onDisconnect(this::cancel);
        if (!endpoint.slots().submit(ticket)) {
            refuse("queue is full");
            return;
        }
        request.deadlineMs()
                .ifPresent(
                        left -> exchange.timer().after(left, () -> next(0, this::refuseIfWaiting)));
    }

    /** Runs the next step of the execution after a delay, unless the call has ended by then. */
    void later(double delayMs, Runnable step) {
        double factor = endpoint.faults().current().timeFactor(draw);
        next(delayMs * factor, () -> runIfRunning(step));
    }

    /** Ends the execution: gives up the slot and then sends the answer. */
    void complete(Runnable answer) {
        if (!phase.compareAndSet(Phase.RUNNING, Phase.ENDED)) {
            return;
        }
        giveUpSlot();
        endpoint.stats().add(EndpointStat.COMPLETED);
        answer.run();
    }

    /** Ends the execution of a call that is answered by one JSON document. */
    void completeWith(String output) {
        complete(
                () -> {
                    HttpReply reply = HttpReply.json(200, echo("output", output));
                    if (mode == Mode.ERROR) {
                        exchange.answer(
                                HttpReply.json(500, echo("error", "ordered to report an error")));
                    } else if (mode == Mode.CLOSE_BEFORE_ANSWER) {
                        exchange.disconnect();
                    } else if (mode == Mode.CUT) {
                        exchange.answerHalf(reply);
                    } else {
                        exchange.answer(reply);
                    }
                });
    }

    /** Fields that every answer carries, and one of its own. */
    Map<String, Object> echo(String name, Object value) {
        Map<String, Object> fields = new LinkedHashMap<>();
        fields.put(name, value);
        fields.put(
                "requestId",
                mode == Mode.WRONG_ID ? "wrong-" + request.requestId() : request.requestId());
        fields.put("attempt", request.attempt());
        fields.put("load", endpoint.slots().laggingLoad());
        fields.put("leaving", endpoint.isLeaving());
        return fields;
    }

    private void begin() {
        if (isPastDeadline()) {
            refuseIfWaiting();
            return;
        }
        mode = endpoint.faults().current().modeFor(draw);
        startedAtMs = endpoint.nowMs();
        if (phase.compareAndSet(Phase.WAITING, Phase.RUNNING)) {
            endpoint.stats().add(EndpointStat.STARTED);
            endpoint.execution().start(this);
        }
    }

    private void cancel() {
        Phase before = phase.getAndSet(Phase.ENDED);
        if (before == Phase.ENDED) {
            return;
        }
        endpoint.stats().add(EndpointStat.CANCELLED);
        if (before == Phase.RUNNING) {
            giveUpSlot();
        } else {
            endpoint.slots().release(ticket);
        }
    }

    private void giveUpSlot() {
        endpoint.stats().add(EndpointStat.BUSY_MS, endpoint.nowMs() - startedAtMs);
        endpoint.slots().release(ticket);
    }

    private void refuseIfWaiting() {
        if (phase.compareAndSet(Phase.WAITING, Phase.ENDED)) {
            endpoint.slots().release(ticket);
            refuse("deadline has passed");
        }
    }

    private void refuse(String reason) {
        phase.set(Phase.ENDED);
        endpoint.stats().add(EndpointStat.REFUSED);
        HttpReply reply =
                HttpReply.json(503, echo("error", reason)).withHeader(NOT_RUN_HEADER, "true");
        endpoint.faults().pass(draw, () -> exchange.answer(reply));
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

    /** Runs a step after a delay, once the call is not frozen. */
    private void next(double delayMs, Runnable step) {
        exchange.timer().after(delayMs, () -> endpoint.faults().pass(draw, step));
    }
}
