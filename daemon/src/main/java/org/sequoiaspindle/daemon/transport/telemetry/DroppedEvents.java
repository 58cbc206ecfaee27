package org.sequoiaspindle.daemon.transport.telemetry;

import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.ErrorHandler;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;
import org.sequoiaspindle.core.common.MillisClock;

/**
 * Counts the lines that the log loses: those that its queues drop because the output is not read,
 * and those that the output does not accept. By default, Log4j reports each of them on standard
 * error, on the thread that logs, which would block there. Thread-safe.
 */
final class DroppedEvents {

    /** Name of the queue in {@code log4j2.xml}. */
    private static final String EVENT_QUEUE = "eventQueue";

    /**
     * Time without a loss after which losses are reported, in milliseconds. A report before the
     * output works again would be lost too.
     */
    static final long QUIET_MS = 1_000;

    /**
     * Lines lost since the last report.
     *
     * @param firstAt time of the first loss, in milliseconds
     * @param lastAt time of the last loss, in milliseconds
     */
    record Loss(long lines, long firstAt, long lastAt) {

        private static final Loss NONE = new Loss(0, 0, 0);

        private Loss afterLossOfLine(long now) {
            return new Loss(lines + 1, lines == 0 ? now : firstAt, now);
        }
    }

    private final MillisClock clock;
    private final AtomicLong total = new AtomicLong();
    private final AtomicReference<Loss> unreported = new AtomicReference<>(Loss.NONE);
    private volatile AsyncAppender eventQueue;

    DroppedEvents(MillisClock clock) {
        this.clock = clock;
    }

    /** Replaces the error handlers of all appenders of the current configuration. */
    void install() {
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        context.getConfiguration()
                .getAppenders()
                .values()
                .forEach(appender -> appender.setHandler(new LossCounter()));
        eventQueue = context.getConfiguration().getAppender(EVENT_QUEUE);
    }

    /** Returns the number of lines lost since the start. */
    long total() {
        return total.get();
    }

    /** Returns the number of events that wait to be written. */
    int queuedEvents() {
        AsyncAppender queue = eventQueue;
        return queue == null ? 0 : queue.getQueueSize();
    }

    /**
     * Returns the losses that have not been reported, and marks them as reported. Returns none
     * until the output is read again.
     */
    Option<Loss> takeUnreported() {
        Loss loss = unreported.get();
        if (loss.lines() == 0 || clock.now() - loss.lastAt() < QUIET_MS || !isOutputRead()) {
            return Option.none();
        }
        return takeAllUnreported();
    }

    /** Returns the losses that have not been reported, even if the output is not read. */
    Option<Loss> takeAllUnreported() {
        return Option.of(unreported.getAndSet(Loss.NONE)).filter(loss -> loss.lines() > 0);
    }

    /** Returns the time since the first of the losses, in milliseconds. */
    long millisSinceFirst(Loss loss) {
        return clock.now() - loss.firstAt();
    }

    private boolean isOutputRead() {
        AsyncAppender queue = eventQueue;
        return queue != null && queue.getQueueRemainingCapacity() > queue.getQueueCapacity() / 2;
    }

    void recordLoss() {
        long now = clock.now();
        // In this order, a loss that is part of the total is never missing from a later report.
        unreported.updateAndGet(loss -> loss.afterLossOfLine(now));
        total.incrementAndGet();
    }

    /** Counts the lines that one appender loses. */
    private final class LossCounter implements ErrorHandler {

        /** Event of the last failed write, which Log4j reports twice. */
        private final AtomicReference<LogEvent> lastFailed = new AtomicReference<>();

        @Override
        public void error(String message) {
            recordLoss();
        }

        @Override
        public void error(String message, Throwable failure) {
            recordLoss();
        }

        @Override
        public void error(String message, LogEvent event, Throwable failure) {
            if (event == null || lastFailed.getAndSet(event) != event) {
                recordLoss();
            }
        }
    }
}
