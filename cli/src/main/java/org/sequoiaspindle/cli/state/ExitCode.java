package org.sequoiaspindle.cli.state;

/** Exit codes of the tool. Scripts depend on the numbers, which must not change. */
public enum ExitCode {
    DONE(0, "done"),
    USAGE(1, "wrong usage, or a file or object that does not exist"),
    INVALID_SET(2, "the object set is malformed or inconsistent"),
    CONFLICT(3, "instances have different generations, or the publication conflicts"),
    NOT_RUN(4, "not run, and will not be run"),
    FAILED(5, "failed"),
    UNKNOWN(6, "unknown whether it ran"),
    DEADLINE_EXCEEDED(7, "deadline exceeded"),
    UNREACHABLE(8, "no instance reachable");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    public int code() {
        return code;
    }

    public String meaning() {
        return meaning;
    }
}
