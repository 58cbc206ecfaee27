package org.sequoiaspindle.daemon.transport.caller;

import org.sequoiaspindle.core.protocol.request.HopTracer;
import org.sequoiaspindle.core.protocol.request.RequestHandler;

/**
 * What the front end for callers needs.
 *
 * @param handler runs the requests
 * @param tracer records the span in which a request was received
 */
public record CallerDependencies(RequestHandler handler, HopTracer tracer) {}
