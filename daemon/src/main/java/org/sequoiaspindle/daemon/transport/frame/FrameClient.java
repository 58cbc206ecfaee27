package org.sequoiaspindle.daemon.transport.frame;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.sequoiaspindle.core.state.forwarding.HostPort;

/** Opens connections to other instances. */
public final class FrameClient {

    private static final int CONNECT_TIMEOUT_MS = 400;

    private FrameClient() {}

    /**
     * Starts to connect to an instance.
     *
     * @param loop event loop of the connection, on which both consumers are called
     */
    public static <M> ChannelFuture connect(
            EventLoop loop,
            HostPort address,
            FrameFormat<M> format,
            Consumer<M> onMessage,
            Consumer<Channel> onClosed) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                FrameHandler.install(
                                        channel,
                                        format,
                                        (from, message) -> onMessage.accept(message),
                                        onClosed);
                            }
                        })
                .connect(new InetSocketAddress(address.host(), address.port()));
    }
}
