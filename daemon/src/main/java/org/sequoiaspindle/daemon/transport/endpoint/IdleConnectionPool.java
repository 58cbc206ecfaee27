package org.sequoiaspindle.daemon.transport.endpoint;

import io.netty.channel.Channel;
import io.vavr.collection.List;
import io.vavr.control.Option;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicReference;

/**
 * Pool of idle connections by endpoint address. Each address has one immutable list, which is
 * replaced by compare-and-set. The most recently used connection is taken first, so that surplus
 * connections reach the idle timeout.
 */
final class IdleConnectionPool {

    private final ConcurrentMap<String, AtomicReference<List<Channel>>> byAddress =
            new ConcurrentHashMap<>();

    /** Removes and returns a connection, preferring one whose event loop is the calling thread. */
    Option<Channel> take(String address) {
        AtomicReference<List<Channel>> idle = byAddress.get(address);
        if (idle == null) {
            return Option.none();
        }
        while (true) {
            List<Channel> currentChannels = idle.get();
            Option<Channel> chosenChannel =
                    currentChannels
                            .find(channel -> channel.eventLoop().inEventLoop())
                            .orElse(currentChannels.headOption());
            if (chosenChannel.isEmpty()
                    || idle.compareAndSet(
                            currentChannels, currentChannels.remove(chosenChannel.get()))) {
                return chosenChannel;
            }
        }
    }

    void add(String address, Channel channel) {
        byAddress
                .computeIfAbsent(address, key -> new AtomicReference<>(List.empty()))
                .updateAndGet(idle -> idle.prepend(channel));
    }

    /** Removes a connection; returns false if a call has already taken it. */
    boolean remove(String address, Channel channel) {
        AtomicReference<List<Channel>> idle = byAddress.get(address);
        return idle != null
                && idle.getAndUpdate(channels -> channels.remove(channel)).contains(channel);
    }

    int size(String address) {
        AtomicReference<List<Channel>> idle = byAddress.get(address);
        return idle == null ? 0 : idle.get().size();
    }

    /** Closes all idle connections to an address. */
    void closeAll(String address) {
        AtomicReference<List<Channel>> idle = byAddress.get(address);
        if (idle != null) {
            idle.getAndSet(List.empty()).forEach(Channel::close);
        }
    }

    /** Closes all idle connections. */
    void closeAll() {
        byAddress.values().forEach(idle -> idle.getAndSet(List.empty()).forEach(Channel::close));
    }
}
