package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;
import org.sequoiaspindle.core.coordination.forwarding.connection.EmbeddedHeadSearch;

/**
 * Response decoder that rejects heads which the standard decoder accepts although they are not
 * those of one response: heads with both a length and chunked encoding, with a malformed status
 * line, or with the status line of another response in them. Such a head begins with a cut copy of
 * an earlier response, whose status would be taken for that of the response that follows.
 */
public final class StrictResponseDecoder extends HttpResponseDecoder {

    private static final int MAX_INITIAL_LINE_BYTES = 4_096;
    private static final int MAX_HEADER_BYTES = 32_768;
    private static final int MAX_CHUNK_BYTES = 65_536;

    /** Enough to recognise the beginning of a status line. */
    private static final int MAX_UNDECODED_CHARACTERS = 16;

    private static final Pattern VERSION = Pattern.compile("HTTP/1\\.[01]");
    private static final Pattern STATUS = Pattern.compile("[1-9]\\d{2}");

    private boolean decodedPart;
    private boolean withinBody;
    private boolean expectsNoBody;

    StrictResponseDecoder() {
        this(MAX_INITIAL_LINE_BYTES, MAX_HEADER_BYTES, MAX_CHUNK_BYTES);
    }

    /** Creates a decoder with limits in bytes. */
    public StrictResponseDecoder(int maxInitialLineLength, int maxHeaderSize, int maxChunkSize) {
        super(maxInitialLineLength, maxHeaderSize, maxChunkSize);
    }

    /** Returns the first bytes after the last message that was decoded, as characters. */
    String undecodedCharacters() {
        ByteBuf bytes = internalBuffer();
        return bytes.toString(
                bytes.readerIndex(),
                Math.min(MAX_UNDECODED_CHARACTERS, bytes.readableBytes()),
                StandardCharsets.ISO_8859_1);
    }

    /** Sets whether the response to the request that is sent now has no body. */
    void expectNoBody(boolean enabled) {
        expectsNoBody = enabled;
    }

    /** The length in the response to a HEAD request is that of the response to a GET request. */
    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return expectsNoBody || super.isContentAlwaysEmpty(message);
    }

    /** Returns whether bytes were received after the last complete response. */
    public boolean isWithinResponse() {
        return decodedPart || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        int start = in.readerIndex();
        super.decode(ctx, in, out);
        if (in.readerIndex() == start) {
            return;
        }
        if (withinBody) {
            checkChunkLines(in, start, out);
        }
        decodedPart = out.isEmpty() || !(out.get(out.size() - 1) instanceof LastHttpContent);
        withinBody = out.isEmpty() ? withinBody : decodedPart;
    }

    /** The standard decoder ignores what follows the size of a chunk in its line. */
    private static void checkChunkLines(ByteBuf in, int start, List<Object> out) {
        int length = in.readerIndex() - start - contentLength(out);
        if (EmbeddedHeadSearch.containsStatusLine(
                in.toString(start, length, StandardCharsets.ISO_8859_1))) {
            out.forEach(ReferenceCountUtil::release);
            out.clear();
            throw new IllegalArgumentException("status line between the chunks of a response");
        }
    }

    private static int contentLength(List<Object> messages) {
        return messages.stream()
                .filter(HttpContent.class::isInstance)
                .mapToInt(message -> ((HttpContent) message).content().readableBytes())
                .sum();
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        if (!VERSION.matcher(initialLine[0]).matches()
                || !STATUS.matcher(initialLine[1]).matches()
                || EmbeddedHeadSearch.containsStatusLine(initialLine[2])) {
            throw new IllegalArgumentException("malformed status line");
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException(
                "response has both a content length and chunked encoding");
    }
}
