package org.sequoiaspindle.daemon.transport.forwarding.process;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryAccount;
import org.sequoiaspindle.core.coordination.forwarding.memory.MemoryPlan;
import org.sequoiaspindle.daemon.state.ForwardingSettings;

/** Limits of the memory account, from the limits of the process and the settings. */
final class ProcessLimits {

    /** Limits of a listener for status requests, which have no bodies. */
    static final MemoryAccount.Limits STATUS = new MemoryAccount.Limits(1024 * 1024, 32);

    private static final long UNKNOWN_DESCRIPTORS = 4_096;

    private ProcessLimits() {}

    static MemoryAccount.Limits clients(ForwardingSettings settings) {
        ForwardingSettings.MemoryLimits limits = settings.memory();
        return MemoryPlan.clients(
                limits.limitBytes() - limits.reserveBytes(),
                Runtime.getRuntime().maxMemory(),
                maxDescriptors());
    }

    private static long maxDescriptors() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount()
                : UNKNOWN_DESCRIPTORS;
    }
}
