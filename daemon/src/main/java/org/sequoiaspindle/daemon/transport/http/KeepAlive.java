package org.sequoiaspindle.daemon.transport.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Determines from the {@code Keep-Alive} field how long a server keeps an idle connection. */
final class KeepAlive {

    /**
     * Idle limit for a server that states no timeout, in milliseconds; it is below common timeouts.
     */
    static final long DEFAULT_IDLE_LIMIT_MS = 2_000;

    /** Subtracted from a stated timeout for the latency of the next request, in milliseconds. */
    static final long TIMEOUT_MARGIN_MS = 500;

    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Pattern TIMEOUT =
            Pattern.compile("(?:^|[,\\s])timeout=(\\d{1,6})", Pattern.CASE_INSENSITIVE);

    private KeepAlive() {}

    static long idleLimitMillis(HttpResponse response) {
        String field = response.headers().get("Keep-Alive");
        if (field == null) {
            return DEFAULT_IDLE_LIMIT_MS;
        }
        Matcher matcher = TIMEOUT.matcher(field);
        return matcher.find()
                ? Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND - TIMEOUT_MARGIN_MS
                : DEFAULT_IDLE_LIMIT_MS;
    }
}
