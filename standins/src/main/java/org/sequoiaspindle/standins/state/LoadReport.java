package org.sequoiaspindle.standins.state;

/** Load of an endpoint: calls that run, calls that wait in it, and calls it can run at once. */
public record LoadReport(int running, int queued, int slots) {}
