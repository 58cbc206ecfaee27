package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.LinkedHashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.LogEvent;

/**
 * Manages the links of this instance: dials the target addresses, performs handshakes, keeps one
 * link for each pair of instances and closes silent links.
 */
final class PeerLinkManager {

    /** Time without messages after which a link is closed: three missed heartbeats. */
    static final long MAX_SILENCE_MILLIS = 3_000;

    /**
     * Minimum delay before an address is dialled again. The actual delay is random, up to {@link
     * #MAX_REDIAL_DELAY_MILLIS}.
     */
    static final long MIN_REDIAL_DELAY_MILLIS = 200;

    static final long MAX_REDIAL_DELAY_MILLIS = 2_000;

    /**
     * Time after which an address may be dialled again if the previous dial has neither succeeded
     * nor failed.
     */
    private static final long DIAL_TIMEOUT_MILLIS = 3_000;

    /**
     * Age below which a link is not closed as unneeded, because the first heartbeat of the peer may
     * not have reported yet whether the peer needs the link.
     */
    private static final long MIN_AGE_TO_CLOSE_MILLIS = 5_000;

    /**
     * Maximum number of unfinished handshakes. Limits the memory that clients without the secret
     * can occupy.
     */
    private static final int MAX_OPEN_HANDSHAKES = 512;

    private final PeerSettings settings;
    private final PeerRuntime runtime;
    private final Listener listener;
    private final AtomicReference<Map<PeerLink, PeerSession>> sessions =
            new AtomicReference<>(LinkedHashMap.empty());
    private final AtomicReference<Map<String, Long>> earliestRedialMillis =
            new AtomicReference<>(HashMap.empty());
    private final AtomicReference<Map<String, String>> instanceAtAddress =
            new AtomicReference<>(HashMap.empty());

    PeerLinkManager(PeerSettings settings, PeerRuntime runtime, Listener listener) {
        this.settings = settings;
        this.runtime = runtime;
        this.listener = listener;
    }

    /**
     * Receives the events of links whose handshake is complete, and failures to reach an address.
     */
    interface Listener {
        void onEstablished(PeerSession session);

        void onMessage(PeerSession session, PeerMessage message);

        void onClosed(PeerSession session);

        void onUnreachable(String address);
    }

    LinkCallbacks acceptCallbacks() {
        return new LinkCallbacks(this::onAccepted, this::onMessage, this::onClosed, () -> {});
    }

    Vector<PeerSession> establishedSessions() {
        return sessions.get().values().filter(PeerSession::isEstablished).toVector();
    }

    Option<PeerSession> findEstablishedSession(String address) {
        return sessions.get()
                .values()
                .find(session -> session.isEstablished() && session.hasAddress(address));
    }

    boolean isOpen(PeerSession session) {
        return sessions.get().containsKey(session.link());
    }

    /** Logs the reason, closes the link and removes the session of the link. */
    void reject(PeerSession session, String reason) {
        runtime.log()
                .record(
                        LogEvent.PEER_REJECTED,
                        HashMap.of("remote", session.link().remote(), "reason", reason));
        close(session);
    }

    void closeAll() {
        sessions.get().values().forEach(this::close);
    }

    /** Closes the links that neither side needs any longer. */
    void closeUnneededLinks(Set<String> targetAddresses, long nowMillis) {
        findUnneededSessions(targetAddresses, nowMillis).forEach(this::close);
    }

    /** Closes silent links and dials target addresses that have no link. */
    void tick(Set<String> targetAddresses, long nowMillis) {
        sessions.get()
                .values()
                .filter(session -> session.silenceMillis(nowMillis) >= MAX_SILENCE_MILLIS)
                .forEach(this::closeSilentSession);
        targetAddresses.filter(address -> shouldDial(address, nowMillis)).forEach(this::dial);
    }

    private void closeSilentSession(PeerSession session) {
        String peer = session.peer().map(PeerMessage.Hello::instance).getOrElse("");
        runtime.log()
                .record(
                        LogEvent.PEER_SILENT,
                        HashMap.of("remote", session.link().remote(), "peer", peer));
        session.peer().forEach(hello -> listener.onUnreachable(hello.address()));
        close(session);
    }

    private Vector<PeerSession> findUnneededSessions(Set<String> targetAddresses, long nowMillis) {
        Vector<PeerSession> establishedSessions = establishedSessions();
        Vector<PeerSession> neededSessions =
                establishedSessions.filter(session -> targetAddresses.exists(session::hasAddress));
        // A link to a data centre is kept until a needed link to the same data centre exists.
        return establishedSessions
                .filter(PeerSession::isDialled)
                .reject(neededSessions::contains)
                .reject(PeerSession::isNeededByPeer)
                .filter(session -> session.ageMillis(nowMillis) > MIN_AGE_TO_CLOSE_MILLIS)
                .filter(
                        session ->
                                neededSessions.exists(
                                        other ->
                                                other.isInDataCentre(
                                                        session.peer().get().dataCentre())));
    }

    private boolean shouldDial(String address, long nowMillis) {
        boolean redialDelayed =
                earliestRedialMillis.get().get(address).exists(time -> nowMillis < time);
        return !redialDelayed
                && !sessions.get().values().exists(session -> session.hasAddress(address))
                && !isReachedUnderAnotherAddress(address);
    }

    private boolean isReachedUnderAnotherAddress(String address) {
        return instanceAtAddress.get().get(address).exists(this::isEstablishedWith);
    }

    private boolean isEstablishedWith(String instance) {
        return establishedSessions().exists(s -> s.peer().get().instance().equals(instance));
    }

    private void dial(String address) {
        long earliestRedial = runtime.clock().now() + DIAL_TIMEOUT_MILLIS;
        earliestRedialMillis.updateAndGet(map -> map.put(address, earliestRedial));
        runtime.transport()
                .connect(
                        address,
                        new LinkCallbacks(
                                link -> onDialled(link, address),
                                this::onMessage,
                                this::onClosed,
                                () -> onDialFailed(address)));
    }

    private void onDialFailed(String address) {
        delayRedial(address);
        listener.onUnreachable(address);
    }

    private void delayRedial(String address) {
        long jitter =
                runtime.random().applyAsLong(MAX_REDIAL_DELAY_MILLIS - MIN_REDIAL_DELAY_MILLIS + 1);
        long time = runtime.clock().now() + MIN_REDIAL_DELAY_MILLIS + jitter;
        earliestRedialMillis.updateAndGet(map -> map.put(address, time));
    }

    private void onDialled(PeerLink link, String address) {
        Handshake handshake = Handshake.forDialler(settings, runtime.nonces().get());
        addSession(new PeerSession(link, Option.of(address), handshake, runtime.clock().now()));
        link.send(handshake.hello());
    }

    private void onAccepted(PeerLink link) {
        if (sessions.get().values().count(s -> !s.isEstablished()) >= MAX_OPEN_HANDSHAKES) {
            link.close();
            return;
        }
        Handshake handshake = Handshake.forAcceptor(settings, runtime.nonces().get());
        addSession(new PeerSession(link, Option.none(), handshake, runtime.clock().now()));
    }

    private void addSession(PeerSession session) {
        sessions.updateAndGet(map -> map.put(session.link(), session));
    }

    private void onMessage(PeerLink link, PeerMessage message) {
        sessions.get().get(link).forEach(session -> onMessage(session, message));
    }

    private void onMessage(PeerSession session, PeerMessage message) {
        if (!session.isEstablished()) {
            continueHandshake(session, message);
        } else if (message instanceof PeerMessage.Hello
                || message instanceof PeerMessage.HelloProof) {
            reject(session, "second handshake on the same link");
        } else {
            session.recordMessageReceived(runtime.clock().now());
            listener.onMessage(session, message);
        }
    }

    private void continueHandshake(PeerSession session, PeerMessage message) {
        Handshake.Step step = session.handshake().receive(message);
        if (step.failure().isDefined()) {
            reject(session, step.failure().get());
            return;
        }
        step.replies().forEach(session::send);
        session.recordMessageReceived(runtime.clock().now());
        session.advanceHandshake(step.next(), step.authenticatedPeer());
        step.authenticatedPeer().forEach(hello -> onEstablished(session, hello));
    }

    private void onEstablished(PeerSession session, PeerMessage.Hello hello) {
        String instance = hello.instance();
        session.dialledAddress()
                .forEach(
                        address ->
                                instanceAtAddress.updateAndGet(map -> map.put(address, instance)));
        Vector<PeerSession> otherSessions =
                establishedSessions()
                        .filter(other -> other != session)
                        .filter(other -> other.peer().get().instance().equals(instance));
        if (otherSessions.exists(other -> !replaces(session, other))) {
            close(session);
            return;
        }
        otherSessions.forEach(this::close);
        runtime.log()
                .record(
                        LogEvent.PEER_CONNECTED,
                        HashMap.of("peer", instance, "remote", session.link().remote()));
        listener.onEstablished(session);
    }

    /**
     * Returns true if the later of two links to the same instance is kept, and false if the earlier
     * link is kept. Both ends make the same decision. If the incarnations of the instance differ,
     * the link to the later incarnation is kept. If different ends dialled the links, the link
     * dialled by the instance with the lower identifier is kept. If the same end dialled both
     * links, the later link is kept, because that end has given up the earlier link.
     */
    private boolean replaces(PeerSession later, PeerSession earlier) {
        PeerMessage.Hello hello = later.peer().get();
        long earlierIncarnation = earlier.peer().get().incarnation();
        if (hello.incarnation() != earlierIncarnation) {
            return hello.incarnation() > earlierIncarnation;
        }
        if (later.isDialled() == earlier.isDialled()) {
            return true;
        }
        boolean localIdIsLower = settings.instance().compareTo(hello.instance()) < 0;
        return later.isDialled() == localIdIsLower;
    }

    private void close(PeerSession session) {
        session.link().close();
        onClosed(session.link());
    }

    private void onClosed(PeerLink link) {
        Option<PeerSession> session = sessions.getAndUpdate(map -> map.remove(link)).get(link);
        session.flatMap(PeerSession::dialledAddress).forEach(this::delayRedial);
        session.filter(PeerSession::isEstablished).forEach(listener::onClosed);
        session.filter(closedSession -> !closedSession.isEstablished())
                .flatMap(PeerSession::dialledAddress)
                .forEach(listener::onUnreachable);
    }
}
