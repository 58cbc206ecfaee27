package org.sequoiaspindle.daemon.transport.forwarding.replica;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/** Copies the end-to-end header fields of a message and drops the hop-by-hop fields. */
final class HeaderFilter {

    private static final Set<String> HOP_BY_HOP_FIELDS =
            Set.of(
                    "connection",
                    "keep-alive",
                    "proxy-connection",
                    "proxy-authenticate",
                    "proxy-authorization",
                    "te",
                    "trailer",
                    "transfer-encoding",
                    "upgrade",
                    "expect",
                    "content-length");

    private HeaderFilter() {}

    /**
     * Copies the end-to-end fields.
     *
     * @param droppedNames lower-case names of further fields to drop
     */
    static HttpHeaders copyEndToEnd(HttpHeaders fields, Set<String> droppedNames) {
        Set<String> connectionFields = new HashSet<>();
        for (String value : fields.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                connectionFields.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        HttpHeaders copy = new DefaultHttpHeaders();
        for (Map.Entry<String, String> field : fields) {
            String name = field.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP_FIELDS.contains(name)
                    && !droppedNames.contains(name)
                    && !connectionFields.contains(name)) {
                copy.add(field.getKey(), field.getValue());
            }
        }
        return copy;
    }
}
