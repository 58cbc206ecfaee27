package org.sequoiaspindle.bench.state;

/** Classes of requests. Each class uses a separate pipeline. */
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

    /** Returns the name of the pipeline, which reports also use as the name of the class. */
    public String pipeline() {
        return pipeline;
    }

    public long deadlineMs() {
        return deadlineMs;
    }
}
