package org.sequoiaspindle.daemon.transport.http;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Map;
import org.sequoiaspindle.core.coordination.forwarding.ConnectionState.BodyEnd;
import org.sequoiaspindle.core.coordination.forwarding.EmbeddedHeadSearch;

/** Reads from the head of a response what decides about its connection. */
final class ResponseHeads {

    private ResponseHeads() {}

    /** Returns whether the head begins with a part of another head, which a field then contains. */
    static boolean containOther(HttpResponse response) {
        for (Map.Entry<String, String> field : response.headers()) {
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
