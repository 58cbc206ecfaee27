package org.sequoiaspindle.daemon.transport.http;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.BodyEnd;
import org.sequoiaspindle.core.coordination.forwarding.connection.EmbeddedHeadSearch;

/** Reads from the head of a response what decides about its connection. */
public final class ResponseHeads {

    private ResponseHeads() {}

    /** Returns whether a field contains the status line of another response. */
    public static boolean containOther(HttpHeaders fields) {
        for (Map.Entry<String, String> field : fields) {
            if (EmbeddedHeadSearch.containsStatusLine(field.getValue())) {
                return true;
            }
        }
        return false;
    }

    static BodyEnd bodyEnd(HttpResponse response) {
        if (MessageFraming.of(response) != MessageFraming.Result.CLEAR) {
            return BodyEnd.UNCLEAR;
        }
        return HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
                ? BodyEnd.DELIMITED
                : BodyEnd.CONNECTION_CLOSE;
    }
}
