package org.sequoiaspindle.core.protocol.endpoint;

/**
 * What an endpoint says of itself with an answer.
 *
 * @param running calls that it runs
 * @param queued calls that wait in it
 * @param slots calls that it can run at once
 * @param leaving whether it is about to stop
 */
public record LoadReport(int running, int queued, int slots, boolean leaving) {}
