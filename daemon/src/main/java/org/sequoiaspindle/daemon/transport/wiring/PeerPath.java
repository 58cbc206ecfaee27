package org.sequoiaspindle.daemon.transport.wiring;

import io.vavr.collection.Vector;
import java.net.InetSocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.membership.MembershipTable;
import org.sequoiaspindle.core.coordination.membership.Peer;
import org.sequoiaspindle.core.protocol.peer.PeerDuties;
import org.sequoiaspindle.core.protocol.peer.PeerRuntime;
import org.sequoiaspindle.core.protocol.peer.PeerSecret;
import org.sequoiaspindle.core.protocol.peer.PeerService;
import org.sequoiaspindle.core.protocol.peer.PeerSettings;
import org.sequoiaspindle.daemon.state.Settings;
import org.sequoiaspindle.daemon.transport.peer.ByteCounter.Traffic;
import org.sequoiaspindle.daemon.transport.peer.SecureNonces;
import org.sequoiaspindle.daemon.transport.peer.TcpPeerTransport;
import org.sequoiaspindle.daemon.transport.telemetry.MetricsRecorder;

/**
 * The link to the other instances.
 *
 * @param service the conversation
 * @param transport its connections
 * @param address peer address of this instance, {@code ip:port}
 */
record PeerPath(PeerService service, TcpPeerTransport transport, String address) {

    /** Binds the peer port; nothing is said before {@link #open}. */
    static PeerPath of(Foundation base, PeerDuties duties, MetricsRecorder metrics) {
        Settings settings = base.settings();
        TcpPeerTransport transport =
                base.closer()
                        .register(
                                new TcpPeerTransport(
                                        base.events(),
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
        InetSocketAddress listening =
                transport.bind(
                        new InetSocketAddress(settings.peer().host(), settings.peer().port()));
        String address = settings.peer().host() + ":" + listening.getPort();
        PeerService service =
                base.closer()
                        .register(
                                new PeerService(
                                        new PeerSettings(
                                                settings.instance(),
                                                settings.dataCentre(),
                                                address,
                                                MillisClock.wall().now(),
                                                PeerSecret.of(settings.peer().secret()),
                                                settings.peer().peers()),
                                        new PeerRuntime(
                                                transport,
                                                base.clock(),
                                                base.timer(),
                                                bound ->
                                                        ThreadLocalRandom.current().nextLong(bound),
                                                new SecureNonces(),
                                                base.events()),
                                        duties));
        return new PeerPath(service, transport, address);
    }

    void open() {
        transport.accept(service.accepting());
        service.start();
    }

    /** Live linked instances of other data centres. */
    Vector<Peer> remotePeers() {
        MembershipTable table = service.membership().table();
        return table.instances()
                .map(Peer::dataCentre)
                .distinct()
                .filter(dataCentre -> !dataCentre.equals(table.self().dataCentre()))
                .flatMap(service::linkedIn);
    }
}
