package org.sequoiaspindle.standins.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.coordination.ActionScheduler;

/**
 * Event loops shared by all stand-ins of a process, so that hundreds of stand-ins fit in one
 * process. The threads are daemon threads and run until the process ends.
 */
final class EventLoops {

    private static final int MAX_THREADS = 4;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final EventLoopGroup SHARED_GROUP =
            new MultiThreadIoEventLoopGroup(
                    Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors()),
                    new DefaultThreadFactory("standin", true),
                    NioIoHandler.newFactory());

    private EventLoops() {}

    static EventLoopGroup sharedGroup() {
        return SHARED_GROUP;
    }

    /** Returns a scheduler on one of the shared event loops. */
    static ActionScheduler scheduler() {
        return scheduler(SHARED_GROUP.next());
    }

    static ActionScheduler scheduler(EventLoop loop) {
        return (delayMs, action) -> {
            long micros = Math.max(0, Math.round(delayMs * MICROS_PER_MILLI));
            Future<?> future = loop.schedule(action, micros, TimeUnit.MICROSECONDS);
            return () -> future.cancel(false);
        };
    }

    /** Returns a monotonic clock in milliseconds with an arbitrary origin. */
    static LongSupplier nowMs() {
        return () -> System.nanoTime() / NANOS_PER_MILLI;
    }
}
