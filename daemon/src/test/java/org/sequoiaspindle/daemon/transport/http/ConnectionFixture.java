package org.sequoiaspindle.daemon.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.coordination.forwarding.connection.ConnectionState.Decision;

/** An outbound connection on an embedded channel, with a server that is played by the test. */
final class ConnectionFixture {

    static final String ID_FIELD = "Request-Id";

    /** Records the response to one request, and recognises it as a replica's response is. */
    static final class Recorder implements ResponseListener {

        private final OutboundConnection connection;
        private final BooleanSupplier isReusable;
        private final StringBuilder body = new StringBuilder();
        private int status;
        private boolean ended;
        private boolean freeAtEnd;
        private String failure = "";

        private Recorder(OutboundConnection connection, BooleanSupplier isReusable) {
            this.connection = connection;
            this.isReusable = isReusable;
        }

        String body() {
            return body.toString();
        }

        int status() {
            return status;
        }

        boolean ended() {
            return ended;
        }

        /** Returns whether the end of the response could be followed by a request at once. */
        boolean freeAtEnd() {
            return freeAtEnd;
        }

        boolean failed() {
            return !failure.isEmpty();
        }

        @Override
        public boolean head(HttpResponse response) {
            Decision owner =
                    connection.ownerOf(Optional.ofNullable(response.headers().get(ID_FIELD)));
            if (owner == Decision.DISCARD) {
                return false;
            }
            if (owner == Decision.FAIL) {
                connection.abort();
                failed("response without an identifier on a connection in use again");
                return true;
            }
            status = response.status().code();
            return true;
        }

        @Override
        public void content(ByteBuf bytes) {
            body.append(bytes.toString(StandardCharsets.ISO_8859_1));
        }

        @Override
        public void end() {
            ended = true;
            freeAtEnd = isReusable.getAsBoolean();
        }

        @Override
        public void failed(String reason) {
            failure = reason;
        }

        @Override
        public String toString() {
            return "status " + status + " ended " + ended + " failure '" + failure + "' " + body;
        }
    }

    /** Delays the end of writes while the socket buffer of the connection is full. */
    private static final class DelayedWrites extends ChannelOutboundHandlerAdapter {

        private boolean enabled;

        @Override
        public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
            if (enabled) {
                ReferenceCountUtil.release(message);
            } else {
                ctx.write(message, promise);
            }
        }
    }

    private final DelayedWrites delayedWrites = new DelayedWrites();
    private final EmbeddedChannel channel = new EmbeddedChannel(delayedWrites);
    private final List<Optional<HttpResponse>> unrequested = new ArrayList<>();
    private final OutboundConnection connection;
    private boolean isFree = true;

    ConnectionFixture() {
        connection =
                OutboundConnection.install(
                        channel, freed -> isFree = true, closed -> {}, unrequested::add);
    }

    OutboundConnection connection() {
        return connection;
    }

    /** Returns whether the pool would use the connection for the next request. */
    boolean isReusable() {
        return isFree && connection.isUsable();
    }

    int unrequestedCount() {
        return unrequested.size();
    }

    Recorder send(String id) {
        return send(HttpMethod.POST, id, false);
    }

    /** Sends a request whose last bytes may remain unwritten. */
    Recorder send(HttpMethod method, String id, boolean remainsUnwritten) {
        delayedWrites.enabled = remainsUnwritten;
        isFree = false;
        connection.recordRequest(id);
        Recorder recorder = new Recorder(connection, this::isReusable);
        connection.send(
                new DefaultHttpRequest(HttpVersion.HTTP_1_1, method, "/"),
                Unpooled.EMPTY_BUFFER,
                recorder);
        channel.releaseOutbound();
        return recorder;
    }

    /** Lets the connection receive bytes in one read. */
    void receive(String bytes) {
        if (channel.isOpen()) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
        }
    }

    void closeByServer() {
        channel.close();
    }

    static String response(String status, String id, String body) {
        return "HTTP/1.1 "
                + status
                + "\r\n"
                + ID_FIELD
                + ": "
                + id
                + "\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n"
                + body;
    }
}
