package org.sequoiaspindle.daemon.transport.wiring;

import io.vavr.collection.Vector;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.MembershipTable;
import org.sequoiaspindle.core.coordination.membership.Peer;
import org.sequoiaspindle.core.protocol.peer.PeerRuntime;
import org.sequoiaspindle.core.protocol.peer.PeerSecret;
import org.sequoiaspindle.core.protocol.peer.PeerService;
import org.sequoiaspindle.core.protocol.peer.PeerServiceDependencies;
import org.sequoiaspindle.core.protocol.peer.PeerSettings;
import org.sequoiaspindle.daemon.state.EntrySettings;
import org.sequoiaspindle.daemon.transport.peer.ByteCounter.Traffic;
import org.sequoiaspindle.daemon.transport.peer.NonceGenerator;
import org.sequoiaspindle.daemon.transport.peer.TcpPeerTransport;
import org.sequoiaspindle.daemon.transport.telemetry.EntryMetrics;

/**
 * Components that connect this instance to the other instances.
 *
 * @param service runs the protocol between instances
 * @param transport TCP connections to the other instances
 * @param peerAddress peer address of this instance, {@code ip:port}
 */
record PeerComponents(PeerService service, TcpPeerTransport transport, String peerAddress) {

    /**
     * Creates the components and binds the peer port. No message is sent and no connection accepted
     * before {@link #start}.
     */
    static PeerComponents create(
            SharedComponents shared, PeerServiceDependencies dependencies, EntryMetrics metrics) {
        EntrySettings settings = shared.settings();
        TcpPeerTransport transport =
                shared.closer()
                        .register(
                                new TcpPeerTransport(
                                        shared.events(),
                                        (traffic, bytes) -> {
                                            if (traffic == Traffic.CONTROL) {
                                                metrics.controlBytesSent().accept(bytes);
                                            }
                                        },
                                        (traffic, bytes) -> {
                                            if (traffic == Traffic.CONTROL) {
                                                metrics.controlBytesReceived().accept(bytes);
                                            }
                                        }));
        InetSocketAddress boundAddress =
                transport.bind(
                        new InetSocketAddress(settings.peer().host(), settings.peer().port()));
        String peerAddress = settings.peer().host() + ":" + boundAddress.getPort();
        PeerService service =
                shared.closer()
                        .register(
                                new PeerService(
                                        new PeerSettings(
                                                settings.instance(),
                                                settings.dataCentre(),
                                                peerAddress,
                                                MillisClock.wall().now(),
                                                PeerSecret.of(settings.peer().secret()),
                                                settings.peer().peers()),
                                        new PeerRuntime(
                                                transport,
                                                shared.clock(),
                                                shared.timer(),
                                                bound ->
                                                        ThreadLocalRandom.current().nextLong(bound),
                                                new NonceGenerator(),
                                                shared.events()),
                                        dependencies));
        return new PeerComponents(service, transport, peerAddress);
    }

    void start() {
        transport.startAccepting(service.acceptCallbacks());
        service.start();
    }

    /** Returns the live instances of other data centres to which a link is open. */
    Vector<Peer> remotePeers() {
        MembershipTable table = service.membership().table();
        return table.instances()
                .map(Peer::dataCentre)
                .distinct()
                .filter(dataCentre -> !dataCentre.equals(table.self().dataCentre()))
                .flatMap(service::reachablePeersIn);
    }
}
