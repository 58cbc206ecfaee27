package org.sequoiaspindle.daemon.transport.relay;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.protocol.relay.RelayedStore;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;

/** Links to the instances through which the store is read. Thread-safe. */
public final class RelayLinks implements RelayedStore.ReaderClient {

    private final EventLoop loop;

    /** Open links by address; used on the event loop only. */
    private final Map<HostPort, RelayLink> linksByAddress = new HashMap<>();

    /** Creates the links on an event loop, on which all results complete. */
    public RelayLinks(EventLoop loop) {
        this.loop = loop;
    }

    @Override
    public CompletionStage<StoreResult> execute(InstanceEntry reader, StoreCommand command) {
        CompletableFuture<StoreResult> result = new CompletableFuture<>();
        HostPort address = reader.relayAddress().orElseThrow();
        loop.execute(() -> link(address).execute(command, result));
        return result;
    }

    private RelayLink link(HostPort address) {
        return linksByAddress.computeIfAbsent(
                address, key -> new RelayLink(key, loop, () -> linksByAddress.remove(key)));
    }
}
