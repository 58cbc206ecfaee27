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

/** Reads statistics of a process from the kernel and the JVM. */
final class ProcessStatistics {

    /** Linux reports CPU time in hundredths of a second. */
    private static final double MS_PER_TICK = 10;

    /**
     * Index of a field in /proc/PID/stat, counted from the field after the command name. The
     * command name may contain spaces.
     */
    private static final int USER_TICKS_FIELD = 11;

    private static final int SYSTEM_TICKS_FIELD = 12;
    private static final double KIB_PER_MIB = 1024;
    private static final double BYTES_PER_MIB = 1024 * 1024;
    private static final Pattern RSS_PATTERN = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final Pattern HISTOGRAM_TOTAL_PATTERN =
            Pattern.compile("(?m)^Total\\s+\\d+\\s+(\\d+)");

    private ProcessStatistics() {}

    /** Returns the CPU time used by the process, in milliseconds. */
    static double cpuMs(long pid) {
        String stat = readProcFile(pid, "stat");
        Vector<String> fields = Vector.of(stat.substring(stat.lastIndexOf(')') + 2).split(" "));
        return (Long.parseLong(fields.get(USER_TICKS_FIELD))
                        + Long.parseLong(fields.get(SYSTEM_TICKS_FIELD)))
                * MS_PER_TICK;
    }

    /** Returns the resident memory of the process, in MiB. */
    static double rssMib(long pid) {
        Matcher matcher = RSS_PATTERN.matcher(readProcFile(pid, "status"));
        return matcher.find() ? Long.parseLong(matcher.group(1)) / KIB_PER_MIB : 0;
    }

    /** Measures the live heap of a JVM, in MiB. Forces a full garbage collection. */
    static double liveHeapMib(long pid) {
        try {
            Process histogram =
                    new ProcessBuilder("jcmd", Long.toString(pid), "GC.class_histogram").start();
            String histogramOutput =
                    new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            Matcher matcher = HISTOGRAM_TOTAL_PATTERN.matcher(histogramOutput);
            return matcher.find() ? Long.parseLong(matcher.group(1)) / BYTES_PER_MIB : 0;
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /**
     * Returns the load average of the machine over one minute. Measurements are valid only if the
     * load average is low.
     */
    static double hostLoadAverage() {
        return ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage();
    }

    private static String readProcFile(long pid, String file) {
        try {
            return Files.readString(Path.of("/proc", Long.toString(pid), file));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
