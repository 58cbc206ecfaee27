package org.sequoiaspindle.core.protocol.request;

/**
 * An ended request, for metrics.
 *
 * @param organisation organisation of the caller as claimed, empty if it was not authenticated
 * @param pipeline name of the pipeline, empty if it does not exist
 * @param answer what the caller was told
 * @param millis time from arrival to the end
 */
public record RequestRecord(String organisation, String pipeline, Answer answer, long millis) {}
