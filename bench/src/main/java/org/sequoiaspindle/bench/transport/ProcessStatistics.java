package org.sequoiaspindle.bench.transport;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads what the kernel and the JVM report of a process. */
final class ProcessStatistics {

    /** The kernel counts CPU time in hundredths of a second on Linux. */
    private static final double MS_PER_TICK = 10;

    /** Fields of /proc/PID/stat after the command, which may contain blanks. */
    private static final int USER_TICKS = 11;

    private static final int SYSTEM_TICKS = 12;
    private static final double KB_PER_MB = 1024;
    private static final double BYTES_PER_MB = 1024 * 1024;
    private static final Pattern RSS = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final Pattern TOTAL = Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)");

    private ProcessStatistics() {}

    /** CPU time that the process has used, in milliseconds. */
    static double cpuMs(long pid) {
        String stat = read(pid, "stat");
        Vector<String> fields = Vector.of(stat.substring(stat.lastIndexOf(')') + 2).split(" "));
        return (Long.parseLong(fields.get(USER_TICKS)) + Long.parseLong(fields.get(SYSTEM_TICKS)))
                * MS_PER_TICK;
    }

    /** Resident memory in MiB. */
    static double rssMb(long pid) {
        Matcher matcher = RSS.matcher(read(pid, "status"));
        return matcher.find() ? Long.parseLong(matcher.group(1)) / KB_PER_MB : 0;
    }

    /** Live heap of a JVM in MiB after a full collection, which this forces. */
    static double liveHeapMb(long pid) {
        try {
            Process histogram =
                    new ProcessBuilder("jcmd", Long.toString(pid), "GC.class_histogram").start();
            String text =
                    new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            Matcher matcher = TOTAL.matcher(text);
            return matcher.find() ? Long.parseLong(matcher.group(1)) / BYTES_PER_MB : 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Load average of the machine over the last minute; figures count only if it is low. */
    static double hostLoadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private static String read(long pid, String file) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(pid), file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
