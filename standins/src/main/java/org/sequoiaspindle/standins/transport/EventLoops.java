package org.sequoiaspindle.standins.transport;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.sequoiaspindle.standins.coordination.Timer;

/**
 * The event loops that all stand-ins of a process share, so that hundreds of them fit in one
 * process. The threads are daemons and live as long as the process.
 */
final class EventLoops {

    private static final int MAX_THREADS = 4;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private static final EventLoopGroup SHARED =
            new MultiThreadIoEventLoopGroup(
                    Math.min(MAX_THREADS, Runtime.getRuntime().availableProcessors()),
                    new DefaultThreadFactory("standin", true),
                    NioIoHandler.newFactory());

    private EventLoops() {}

    static EventLoopGroup shared() {
        return SHARED;
    }

    /** A timer on one of the shared event loops. */
    static Timer timer() {
        return timer(SHARED.next());
    }

    static Timer timer(EventLoop loop) {
        return (delayMs, action) -> {
            long micros = Math.max(0, Math.round(delayMs * MICROS_PER_MILLI));
            Future<?> scheduled = loop.schedule(action, micros, TimeUnit.MICROSECONDS);
            return () -> scheduled.cancel(false);
        };
    }

    /** Milliseconds of a clock that never goes back; its origin is arbitrary. */
    static LongSupplier nowMs() {
        return () -> System.nanoTime() / NANOS_PER_MILLI;
    }
}
