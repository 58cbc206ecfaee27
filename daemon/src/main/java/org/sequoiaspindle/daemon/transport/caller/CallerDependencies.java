package org.sequoiaspindle.daemon.transport.caller;

import org.sequoiaspindle.core.protocol.request.RequestHandler;
import org.sequoiaspindle.core.protocol.request.SpanTracer;

/**
 * Dependencies of {@link CallerController}.
 *
 * @param handler runs the requests
 * @param tracer records a span for each received request
 */
public record CallerDependencies(RequestHandler handler, SpanTracer tracer) {}
