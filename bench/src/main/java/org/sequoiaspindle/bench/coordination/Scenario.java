package org.sequoiaspindle.bench.coordination;

import java.util.function.DoubleFunction;
import org.sequoiaspindle.bench.state.TimeWindow;

/** Scenario of a policy run: the load and the injected fault. */
public enum Scenario {
    STEADY("steady", constantLoad(), false, Fault.NONE),
    MIXED("mixed", constantLoad(), true, Fault.NONE),
    LOAD_PEAK(
            "crest",
            seconds -> LoadProfile.peak(0.7, 2, Scenario.PEAK_RAMP_SECONDS, seconds),
            false,
            Fault.NONE),
    SLOWED("slowed", constantLoad(), false, Fault.SLOW_ENDPOINTS),
    FROZEN("frozen", constantLoad(), false, Fault.FREEZE_ENGINE),
    KILLED("killed", constantLoad(), false, Fault.KILL_INSTANCE),
    STORE_DOWN("storeDown", constantLoad(), false, Fault.STOP_STORE);

    /**
     * Fault that is injected during the time window of a run. All faults except {@link
     * #KILL_INSTANCE} are removed at the end of the window.
     */
    public enum Fault {
        NONE,
        SLOW_ENDPOINTS,
        FREEZE_ENGINE,
        KILL_INSTANCE,
        STOP_STORE;

        /**
         * Returns the time at which the fault is injected: the start of the window, or the middle
         * of the window for {@link #KILL_INSTANCE}.
         */
        public long startNanos(TimeWindow window) {
            return this == KILL_INSTANCE
                    ? (window.fromNanos() + window.toNanos()) / 2
                    : window.fromNanos();
        }
    }

    private static final double PEAK_RAMP_SECONDS = 1.5;

    private final String label;
    private final DoubleFunction<LoadProfile> loadProfile;
    private final boolean includesReports;
    private final Fault fault;

    Scenario(
            String label,
            DoubleFunction<LoadProfile> loadProfile,
            boolean includesReports,
            Fault fault) {
        this.label = label;
        this.loadProfile = loadProfile;
        this.includesReports = includesReports;
        this.fault = fault;
    }

    /** Returns the scenario with a label. */
    public static Scenario withLabel(String label) {
        for (Scenario scenario : values()) {
            if (scenario.label.equals(label)) {
                return scenario;
            }
        }
        throw new IllegalArgumentException("unknown scenario " + label);
    }

    public String label() {
        return label;
    }

    /** Returns the load of short requests (chats and payments) over a run. */
    public LoadProfile loadProfile(double runSeconds) {
        return loadProfile.apply(runSeconds);
    }

    public boolean includesReports() {
        return includesReports;
    }

    public Fault fault() {
        return fault;
    }

    private static DoubleFunction<LoadProfile> constantLoad() {
        return seconds -> LoadProfile.constant(0.6);
    }
}
