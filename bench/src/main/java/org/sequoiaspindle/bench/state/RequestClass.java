package org.sequoiaspindle.bench.state;

/** Classes of requests. Each class has its own pipeline. */
public enum RequestClass {
    CHAT("chat", 2500),
    REPORT("report", 30_000),
    PAYMENT("payment", 3000);

    private final String pipeline;
    private final long deadlineMs;

    RequestClass(String pipeline, long deadlineMs) {
        this.pipeline = pipeline;
        this.deadlineMs = deadlineMs;
    }

    /** Name of the pipeline, also used in reports. */
    public String pipeline() {
        return pipeline;
    }

    public long deadlineMs() {
        return deadlineMs;
    }
}
