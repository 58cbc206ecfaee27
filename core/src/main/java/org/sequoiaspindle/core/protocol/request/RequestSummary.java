package org.sequoiaspindle.core.protocol.request;

/**
 * Summary of a request that has ended, for metrics.
 *
 * @param organisation organisation of the caller, empty if the request did not pass validation
 * @param pipeline name of the pipeline, empty if the request did not pass validation
 * @param answer answer returned to the caller
 * @param millis time from arrival to end in milliseconds
 */
public record RequestSummary(String organisation, String pipeline, Answer answer, long millis) {}
