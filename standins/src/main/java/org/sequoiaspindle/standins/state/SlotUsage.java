package org.sequoiaspindle.standins.state;

/** Load of an endpoint: running calls, queued calls, and the maximum of running calls. */
public record SlotUsage(int running, int queued, int slots) {}
