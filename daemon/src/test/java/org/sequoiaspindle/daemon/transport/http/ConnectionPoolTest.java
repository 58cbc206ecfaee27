package org.sequoiaspindle.daemon.transport.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.daemon.transport.http.ConnectionPool.Destination;

/** Guards against requests on connections that their server is about to close. */
final class ConnectionPoolTest {

    private static final long TIMEOUT_S = 20;
    private static final String RESPONSE =
            "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=2\r\nContent-Length: 0\r\n\r\n";

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private final AtomicLong now = new AtomicLong(1_000_000);
    private final ConnectionPool pool =
            new ConnectionPool(loop, NioSocketChannel.class, now::get, bytes -> {});

    @AfterEach
    void close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }

    @Test
    void connectionThatIsReturnedUnusedHasBeenIdleSinceItsLastResponse() throws Exception {
        try (ServerSocket server = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            Thread responder = new Thread(() -> respond(server));
            responder.setDaemon(true);
            responder.start();
            Destination destination =
                    new Destination(new HostPort("127.0.0.1", server.getLocalPort()), "server");
            OutboundConnection first = acquire(destination);
            exchange(first);
            now.addAndGet(1_000);
            assertSame(first, acquire(destination));
            loop.submit(() -> pool.release(destination, first)).get(TIMEOUT_S, TimeUnit.SECONDS);
            assertSame(first, acquire(destination));
            loop.submit(() -> pool.release(destination, first)).get(TIMEOUT_S, TimeUnit.SECONDS);
            now.addAndGet(1_000);
            assertNotSame(first, acquire(destination));
        }
    }

    private OutboundConnection acquire(Destination destination) throws Exception {
        CompletableFuture<OutboundConnection> acquired = new CompletableFuture<>();
        loop.execute(
                () ->
                        pool.acquire(
                                destination,
                                (connection, reason) -> {
                                    assertEquals("", reason);
                                    acquired.complete(connection);
                                }));
        return acquired.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private void exchange(OutboundConnection connection) throws Exception {
        CompletableFuture<Void> ended = new CompletableFuture<>();
        loop.execute(
                () ->
                        connection.send(
                                new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/"),
                                Unpooled.EMPTY_BUFFER,
                                new EndListener(ended)));
        ended.get(TIMEOUT_S, TimeUnit.SECONDS);
    }

    private record EndListener(CompletableFuture<Void> ended) implements ResponseListener {

        @Override
        public boolean head(HttpResponse response) {
            return true;
        }

        @Override
        public void content(ByteBuf bytes) {}

        @Override
        public void end() {
            ended.complete(null);
        }

        @Override
        public void failed(String reason) {
            ended.completeExceptionally(new IOException(reason));
        }
    }

    /** Answers the first bytes of each connection, and keeps it open. */
    private static void respond(ServerSocket server) {
        try {
            while (true) {
                Socket socket = server.accept();
                Thread thread =
                        new Thread(
                                () -> {
                                    try {
                                        socket.getInputStream().read(new byte[4_096]);
                                        socket.getOutputStream()
                                                .write(RESPONSE.getBytes(StandardCharsets.UTF_8));
                                    } catch (IOException closed) {
                                        // The test has ended.
                                    }
                                });
                thread.setDaemon(true);
                thread.start();
            }
        } catch (IOException closed) {
            // The test has ended.
        }
    }
}
