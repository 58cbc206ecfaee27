package org.sequoiaspindle.daemon.transport.telemetry;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Output stream whose writes never block. A thread of its own passes the bytes to the target. While
 * the target is not read, writes beyond a limit are dropped. Errors of the target, such as a closed
 * pipe, drop the bytes. Thread-safe.
 */
public final class NonBlockingOutput extends OutputStream {

    /** Maximum number of queued bytes. */
    static final int MAX_QUEUED_BYTES = 1024 * 1024;

    /** Maximum number of queued writes; a log event is one write. */
    private static final int MAX_QUEUED_WRITES = 8_192;

    /** Maximum number of writes that are passed on together. */
    private static final int MAX_BATCH = 64;

    /** Bytes to write, and what to do afterwards. */
    private record Entry(byte[] bytes, Runnable afterwards) {}

    private final OutputStream target;
    private final BlockingQueue<Entry> queue = new ArrayBlockingQueue<>(MAX_QUEUED_WRITES);
    private final AtomicLong queuedBytes = new AtomicLong();
    private final AtomicLong droppedWrites = new AtomicLong();

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
            recordDropped(1);
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

    private void recordDropped(long writes) {
        droppedWrites.addAndGet(writes);
    }

    private void passOn() {
        List<Entry> batch = new ArrayList<>(MAX_BATCH);
        while (true) {
            try {
                batch.add(queue.take());
                queue.drainTo(batch, MAX_BATCH - 1);
                writeBatch(batch);
                batch.clear();
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    /** Writes the bytes of all entries together, which saves system calls. */
    private void writeBatch(List<Entry> batch) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        batch.forEach(entry -> bytes.writeBytes(entry.bytes()));
        try {
            bytes.writeTo(target);
            target.flush();
        } catch (IOException e) {
            recordDropped(batch.stream().filter(entry -> entry.bytes().length > 0).count());
        }
        queuedBytes.addAndGet(-bytes.size());
        batch.forEach(entry -> entry.afterwards().run());
    }
}
