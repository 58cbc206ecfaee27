package org.sequoiaspindle.daemon.transport.telemetry;

import java.io.IOException;
import java.io.OutputStream;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongConsumer;

/**
 * Output stream whose writes never block. A thread of its own passes the bytes to the target. While
 * the target is not read, writes beyond a limit are dropped; when it is read again, the number of
 * dropped writes is reported. Errors of the target, such as a closed pipe, drop the bytes.
 * Thread-safe.
 */
public final class NonBlockingOutput extends OutputStream {

    /** Maximum number of queued bytes. */
    static final int MAX_QUEUED_BYTES = 1024 * 1024;

    /** Maximum number of queued writes; a log event is one write. */
    private static final int MAX_QUEUED_WRITES = 8_192;

    /** Bytes to write, and what to do afterwards. */
    private record Entry(byte[] bytes, Runnable afterwards) {}

    private final OutputStream target;
    private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(MAX_QUEUED_WRITES);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong droppedWrites = new AtomicLong();
    private final AtomicLong unreportedWrites = new AtomicLong();
    private volatile LongConsumer onRecovered = dropped -> {};

    private NonBlockingOutput(OutputStream target) {
        this.target = target;
    }

    /** Starts the thread that writes to the target. */
    public static NonBlockingOutput start(OutputStream target, String name) {
        NonBlockingOutput output = new NonBlockingOutput(target);
        Thread writer = new Thread(output::passOn, name);
        writer.setDaemon(true);
        writer.start();
        return output;
    }

    /**
     * Sets the receiver of the number of writes that were dropped since the last report. It is
     * called by the writing thread when the target has been read again.
     */
    public void onRecovered(LongConsumer receiver) {
        onRecovered = receiver;
    }

    /** Returns the number of writes that were dropped since the start. */
    public long droppedWrites() {
        return droppedWrites.get();
    }

    @Override
    public void write(int value) {
        write(new byte[] {(byte) value}, 0, 1);
    }

    @Override
    public void write(byte[] bytes, int offset, int length) {
        if (length == 0) {
            return;
        }
        byte[] copy = new byte[length];
        System.arraycopy(bytes, offset, copy, 0, length);
        if (queuedBytes.addAndGet(length) > MAX_QUEUED_BYTES
                || !queue.offer(new Entry(copy, () -> {}))) {
            queuedBytes.addAndGet(-length);
            recordDropped();
        }
    }

    /** Does nothing, because waiting for the target would block. */
    @Override
    public void flush() {}

    /**
     * Waits until the queued bytes have been written.
     *
     * @param timeoutMillis time after which the rest is given up
     */
    public void drain(long timeoutMillis) throws InterruptedException {
        CountDownLatch written = new CountDownLatch(1);
        if (queue.offer(new Entry(new byte[0], written::countDown))) {
            written.await(timeoutMillis, TimeUnit.MILLISECONDS);
        }
    }

    private void recordDropped() {
        droppedWrites.incrementAndGet();
        unreportedWrites.incrementAndGet();
    }

    private void passOn() {
        while (true) {
            try {
                Entry entry = queue.take();
                writeToTarget(entry.bytes());
                queuedBytes.addAndGet(-entry.bytes().length);
                entry.afterwards().run();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void writeToTarget(byte[] bytes) {
        try {
            target.write(bytes);
            target.flush();
        } catch (IOException e) {
            recordDropped();
            return;
        }
        long dropped = unreportedWrites.getAndSet(0);
        if (dropped > 0) {
            onRecovered.accept(dropped);
        }
    }
}
