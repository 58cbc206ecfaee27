package org.sequoiaspindle.daemon.transport.telemetry;

import java.util.concurrent.atomic.AtomicLong;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.core.ErrorHandler;
import org.apache.logging.log4j.core.LogEvent;
import org.apache.logging.log4j.core.LoggerContext;
import org.apache.logging.log4j.core.appender.AsyncAppender;

/**
 * Counts the log events that the queues of the log drop because the output is not read. By default,
 * Log4j reports each of them on standard error, on the thread that logs, which would block there.
 * Thread-safe.
 */
final class DroppedEvents implements ErrorHandler {

    /** Name of the queue in {@code log4j2.xml}. */
    private static final String EVENT_QUEUE = "eventQueue";

    private final AtomicLong total = new AtomicLong();
    private final AtomicLong unreported = new AtomicLong();
    private volatile AsyncAppender eventQueue;

    /** Replaces the reports of all queues of the current configuration. */
    void install() {
        LoggerContext context = (LoggerContext) LogManager.getContext(false);
        context.getConfiguration().getAppenders().values().stream()
                .filter(AsyncAppender.class::isInstance)
                .forEach(queue -> queue.setHandler(this));
        eventQueue = context.getConfiguration().getAppender(EVENT_QUEUE);
    }

    long total() {
        return total.get();
    }

    /**
     * Returns the number of dropped events that have not been reported, and marks them so. Returns
     * 0 until the output is read again.
     */
    long takeUnreported() {
        AsyncAppender queue = eventQueue;
        boolean isRead =
                queue != null && queue.getQueueRemainingCapacity() > queue.getQueueCapacity() / 2;
        return unreported.get() > 0 && isRead ? unreported.getAndSet(0) : 0;
    }

    @Override
    public void error(String message) {
        total.incrementAndGet();
        unreported.incrementAndGet();
    }

    @Override
    public void error(String message, Throwable failure) {
        error(message);
    }

    @Override
    public void error(String message, LogEvent event, Throwable failure) {
        error(message);
    }
}
