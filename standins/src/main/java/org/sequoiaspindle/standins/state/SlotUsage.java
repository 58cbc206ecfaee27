package org.sequoiaspindle.standins.state;

/** Load of an endpoint: number of running calls, number of queued calls and number of slots. */
public record SlotUsage(int running, int queued, int slots) {}
