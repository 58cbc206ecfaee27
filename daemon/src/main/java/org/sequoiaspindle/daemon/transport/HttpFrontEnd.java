package org.sequoiaspindle.daemon.transport;

import io.micronaut.context.ApplicationContext;
import io.micronaut.http.netty.channel.EventLoopGroupRegistry;
import io.micronaut.http.server.netty.NettyHttpServer;
import io.micronaut.runtime.server.EmbeddedServer;
import io.netty.channel.EventLoopGroup;
import io.vavr.collection.Seq;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;

/** HTTP server of the entry instance: Micronaut with the controllers of this module. */
public final class HttpFrontEnd implements AutoCloseable {

    /** The largest body is an object set; {@code CallerController} accepts only smaller bodies. */
    private static final int MAX_BODY_BYTES = 32 * 1024 * 1024;

    /**
     * Longest time for which a connection may carry no data. It is above the longest deadline of a
     * request, one hour.
     */
    private static final String IDLE_TIMEOUT = "65m";

    private static final int RANDOM_PORT = -1;

    private final ApplicationContext context;
    private final EmbeddedServer server;

    private HttpFrontEnd(ApplicationContext context) {
        this.context = context;
        this.server = context.getBean(EmbeddedServer.class);
    }

    /**
     * Creates a server that is not listening yet.
     *
     * @param port port to listen on, 0 for any free port
     */
    public static HttpFrontEnd create(String host, int port) {
        Map<String, Object> properties = new HashMap<>();
        properties.put("micronaut.server.host", host);
        properties.put("micronaut.server.port", port == 0 ? RANDOM_PORT : port);
        properties.put("micronaut.server.max-request-size", MAX_BODY_BYTES);
        properties.put("micronaut.server.idle-timeout", IDLE_TIMEOUT);
        properties.put("micronaut.server.read-idle-timeout", IDLE_TIMEOUT);
        properties.put("micronaut.server.write-idle-timeout", IDLE_TIMEOUT);
        properties.put("micronaut.server.log-handled-exceptions", false);
        return new HttpFrontEnd(
                ApplicationContext.builder()
                        .deduceEnvironment(false)
                        .deduceCloudEnvironment(false)
                        .environmentPropertySource(false)
                        .banner(false)
                        .properties(properties)
                        .start());
    }

    /**
     * Starts listening; throws if the address cannot be bound.
     *
     * @param dependencies beans injected into the controllers, one of each class
     */
    public void start(Seq<?> dependencies) {
        dependencies.forEach(context::registerSingleton);
        server.start();
    }

    /** Returns the port on which the server listens. */
    public int port() {
        return server.getPort();
    }

    /**
     * Returns the event loops of the server, which are shared with the HTTP client that calls
     * endpoints.
     */
    public EventLoopGroup eventLoops() {
        return context.getBean(EventLoopGroupRegistry.class).getDefaultEventLoopGroup();
    }

    /**
     * Stops listening; the returned future completes when all responses in progress have been
     * written.
     */
    public CompletionStage<?> shutdownGracefully() {
        return ((NettyHttpServer) server).shutdownGracefully();
    }

    @Override
    public void close() {
        context.close();
    }
}
