package org.sequoiaspindle.daemon.transport.forwarding.request;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import org.sequoiaspindle.core.protocol.forwarding.RejectionResponse;

/** Header fields of an error response of the system. */
final class RejectionFields {

    private static final double MILLIS_PER_SECOND = 1000;

    private RejectionFields() {}

    static HttpHeaders of(RejectionResponse response) {
        HttpHeaders fields = new DefaultHttpHeaders();
        response.retryAfterMillis()
                .ifPresent(
                        millis ->
                                fields.set(
                                        HttpHeaderNames.RETRY_AFTER,
                                        String.valueOf(millis / MILLIS_PER_SECOND)));
        if (!response.explanation().isEmpty()) {
            fields.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        }
        return fields;
    }
}
