package org.sequoiaspindle.daemon.transport.telemetry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards against threads that block because nobody reads the output of the process. */
@Timeout(30)
final class NonBlockingOutputTest {

    private static final int LINE_BYTES = 1_024;
    private static final int LINES = 4 * NonBlockingOutput.MAX_QUEUED_BYTES / LINE_BYTES;
    private static final long DRAIN_MS = 20_000;

    /** A pipe whose reader has stopped until the latch is open. */
    private static final class StalledTarget extends OutputStream {

        private final CountDownLatch reading = new CountDownLatch(1);
        private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

        @Override
        public void write(int value) throws IOException {
            write(new byte[] {(byte) value}, 0, 1);
        }

        @Override
        public void write(byte[] source, int offset, int length) throws IOException {
            try {
                reading.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            bytes.write(source, offset, length);
        }
    }

    @Test
    void writesDoNotBlockAndTheOutputGoesOnOnceItIsRead() throws Exception {
        StalledTarget target = new StalledTarget();
        NonBlockingOutput output = NonBlockingOutput.start(target, "test");
        for (int line = 0; line < LINES; line++) {
            output.write(new byte[LINE_BYTES]);
        }
        long dropped = output.droppedWrites();
        assertEquals(LINES - NonBlockingOutput.MAX_QUEUED_BYTES / LINE_BYTES, dropped);
        output.drain(1);
        target.reading.countDown();
        output.drain(DRAIN_MS);
        assertEquals(NonBlockingOutput.MAX_QUEUED_BYTES, target.bytes.size());
    }

    @Test
    void writesAreKeptInOrder() throws Exception {
        ByteArrayOutputStream target = new ByteArrayOutputStream();
        NonBlockingOutput output = NonBlockingOutput.start(target, "test");
        for (int i = 0; i < 100; i++) {
            output.write((i + ";").getBytes(StandardCharsets.UTF_8));
        }
        output.drain(DRAIN_MS);
        String text = target.toString(StandardCharsets.UTF_8);
        assertTrue(text.startsWith("0;1;2;"), text);
        assertTrue(text.endsWith("98;99;"), text);
        assertEquals(0, output.droppedWrites());
    }

    @Test
    void closedOutputIsCountedAndDoesNotStopTheWriter() throws Exception {
        OutputStream closed =
                new OutputStream() {
                    @Override
                    public void write(int value) throws IOException {
                        throw new IOException("Broken pipe");
                    }
                };
        NonBlockingOutput output = NonBlockingOutput.start(closed, "test");
        output.write("one".getBytes(StandardCharsets.UTF_8));
        output.write("two".getBytes(StandardCharsets.UTF_8));
        output.drain(DRAIN_MS);
        assertEquals(2, output.droppedWrites());
    }
}
