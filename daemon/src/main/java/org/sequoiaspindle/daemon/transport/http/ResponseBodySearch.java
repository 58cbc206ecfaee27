package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.function.Predicate;
import org.sequoiaspindle.core.coordination.forwarding.connection.EmbeddedHeadSearch;

/**
 * Searches the body of a response for the head of another one; see {@link EmbeddedHeadSearch}.
 * Confined to the event loop of the connection.
 */
final class ResponseBodySearch {

    private static final ByteBuf STATUS_LINE_START =
            Unpooled.unreleasableBuffer(
                            Unpooled.copiedBuffer(
                                    EmbeddedHeadSearch.PROTOCOL, StandardCharsets.US_ASCII))
                    .asReadOnly();

    private EmbeddedHeadSearch search = EmbeddedHeadSearch.START;

    /** Begins the body of a response. */
    void restart() {
        search = EmbeddedHeadSearch.START;
    }

    /**
     * Returns whether the body, with the next bytes, contains the head of another response.
     *
     * @param isCarriedId whether the connection has carried a request with an identifier
     */
    boolean findsOtherHead(ByteBuf content, Predicate<String> isCarriedId) {
        ByteBuf bytes = content.slice();
        int start = 0;
        if (search.pending().isEmpty()) {
            // Most bodies contain no status line and need not be converted.
            int match = ByteBufUtil.indexOf(STATUS_LINE_START, bytes);
            int lastBytes = bytes.writerIndex() - STATUS_LINE_START.readableBytes() + 1;
            start = match >= 0 ? match : Math.max(0, lastBytes);
        }
        search =
                search.after(
                        bytes.toString(
                                start, bytes.writerIndex() - start, StandardCharsets.ISO_8859_1),
                        isCarriedId);
        return search.found();
    }

    /** Returns whether the body ends inside a head that the following characters continue. */
    boolean isContinuedBy(String following) {
        return search.isContinuedBy(following);
    }
}
