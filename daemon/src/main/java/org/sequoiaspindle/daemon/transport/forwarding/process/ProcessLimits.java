package org.sequoiaspindle.daemon.transport.forwarding.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryAccount;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryPlan;
import org.sequoiaspindle.daemon.state.ForwardingSettings;

/** Limits of the memory account, from the limits of the process and the settings. */
final class ProcessLimits {

    /** Limits of a listener for status requests, which have no bodies. */
    static final MemoryAccount.Limits STATUS = new MemoryAccount.Limits(1024 * 1024, 32);

    /** Assumed where the kernel does not state a limit. */
    private static final long UNKNOWN_DESCRIPTORS = 4_096;

    private static final Path LIMITS = Path.of("/proc/self/limits");

    private static final Pattern OPEN_FILES = Pattern.compile("^Max open files +([0-9]{1,18}) ");

    private ProcessLimits() {}

    static MemoryAccount.Limits clients(ForwardingSettings settings) {
        ForwardingSettings.MemoryLimits limits = settings.memory();
        return MemoryPlan.clients(
                limits.limitBytes() - limits.reserveBytes(),
                Runtime.getRuntime().maxMemory(),
                maxDescriptors());
    }

    /** Reads the limit from the kernel, because the JVM's management beans load many classes. */
    private static long maxDescriptors() {
        try (Stream<String> lines = Files.lines(LIMITS)) {
            return lines.map(OPEN_FILES::matcher)
                    .filter(Matcher::find)
                    .mapToLong(line -> Long.parseLong(line.group(1)))
                    .findFirst()
                    .orElse(UNKNOWN_DESCRIPTORS);
        } catch (IOException | UncheckedIOException e) {
            return UNKNOWN_DESCRIPTORS;
        }
    }
}
