package org.sequoiaspindle.bench.coordination;

import java.util.function.DoubleFunction;
import org.sequoiaspindle.bench.state.Window;

/** Load and fault of a policy run. */
public enum Scenario {
    STEADY("steady", steadyLoad(), false, Fault.NONE),
    MIXED("mixed", steadyLoad(), true, Fault.NONE),
    CREST(
            "crest",
            seconds -> LoadShape.crest(0.7, 2, Scenario.RAMP_SECONDS, seconds),
            false,
            Fault.NONE),
    SLOWED("slowed", steadyLoad(), false, Fault.SLOW_ENDPOINTS),
    FROZEN("frozen", steadyLoad(), false, Fault.FREEZE_ENGINE),
    KILLED("killed", steadyLoad(), false, Fault.KILL_INSTANCE),
    STORE_DOWN("storeDown", steadyLoad(), false, Fault.STOP_STORE);

    /** What is injected; all but the kill is taken back at the end of the window. */
    public enum Fault {
        NONE,
        SLOW_ENDPOINTS,
        FREEZE_ENGINE,
        KILL_INSTANCE,
        STOP_STORE;

        /** When the fault begins: with the window, but a kill in its middle. */
        public long beginNanos(Window window) {
            return this == KILL_INSTANCE
                    ? (window.fromNanos() + window.toNanos()) / 2
                    : window.fromNanos();
        }
    }

    private static final double RAMP_SECONDS = 1.5;

    private final String label;
    private final DoubleFunction<LoadShape> shape;
    private final boolean reports;
    private final Fault fault;

    Scenario(String label, DoubleFunction<LoadShape> shape, boolean reports, Fault fault) {
        this.label = label;
        this.shape = shape;
        this.reports = reports;
        this.fault = fault;
    }

    /** The scenario of a name. */
    public static Scenario named(String label) {
        for (Scenario scenario : values()) {
            if (scenario.label.equals(label)) {
                return scenario;
            }
        }
        throw new IllegalArgumentException("there is no scenario " + label);
    }

    public String label() {
        return label;
    }

    /** Short load over a run of some seconds. */
    public LoadShape shape(double runSeconds) {
        return shape.apply(runSeconds);
    }

    public boolean hasReports() {
        return reports;
    }

    public Fault fault() {
        return fault;
    }

    private static DoubleFunction<LoadShape> steadyLoad() {
        return seconds -> LoadShape.constant(0.6);
    }
}
