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
 * Keeps the links of this instance: dials wanted addresses, runs handshakes, keeps one link per
 * pair of instances, and closes silent links.
 */
final class PeerLinks {

    /** Silence after which a link is closed: three missed heartbeats. */
    static final long SILENT_MILLIS = 3_000;

    /** Bounds of the delay before an address is dialled again. */
    static final long MIN_REDIAL_MILLIS = 200;

    static final long MAX_REDIAL_MILLIS = 2_000;

    /** Time after which a dial without any result is given up. */
    private static final long DIAL_LIMIT_MILLIS = 3_000;

    /**
     * A link gets this long to say whether the other side chose it, before it counts as unwanted.
     */
    private static final long SETTLING_MILLIS = 5_000;

    /** Bounds the memory that callers without the secret can hold. */
    private static final int MAX_HANDSHAKES = 512;

    private final PeerSettings settings;
    private final PeerRuntime runtime;
    private final Listener listener;
    private final AtomicReference<Map<PeerLink, PeerSession>> sessions =
            new AtomicReference<>(LinkedHashMap.empty());
    private final AtomicReference<Map<String, Long>> dialNotBefore =
            new AtomicReference<>(HashMap.empty());
    private final AtomicReference<Map<String, String>> instanceAtAddress =
            new AtomicReference<>(HashMap.empty());

    PeerLinks(PeerSettings settings, PeerRuntime runtime, Listener listener) {
        this.settings = settings;
        this.runtime = runtime;
        this.listener = listener;
    }

    /**
     * Takes what happens on links whose handshake is complete, and failures to reach an address.
     */
    interface Listener {
        void established(PeerSession session);

        void received(PeerSession session, PeerMessage message);

        void lost(PeerSession session);

        void unreachable(String address);
    }

    LinkEvents accepting() {
        return new LinkEvents(this::accepted, this::received, this::closed, () -> {});
    }

    Vector<PeerSession> established() {
        return sessions.get().values().filter(PeerSession::isEstablished).toVector();
    }

    Option<PeerSession> establishedAt(String address) {
        return sessions.get()
                .values()
                .find(session -> session.isEstablished() && session.reaches(address));
    }

    boolean isOpen(PeerSession session) {
        return sessions.get().containsKey(session.link());
    }

    /** Closes the link and drops all that depends on it. */
    void reject(PeerSession session, String reason) {
        runtime.log()
                .record(
                        LogEvent.PEER_REJECTED,
                        HashMap.of("remote", session.link().remote(), "reason", reason));
        drop(session);
    }

    void closeAll() {
        sessions.get().values().forEach(this::drop);
    }

    /** Closes links that neither side chose any longer. */
    void closeUnneeded(Set<String> wanted, long nowMillis) {
        unneeded(wanted, nowMillis).forEach(this::drop);
    }

    /** Closes silent links and dials wanted addresses that have none. */
    void tick(Set<String> wanted, long nowMillis) {
        sessions.get()
                .values()
                .filter(session -> session.silentMillis(nowMillis) >= SILENT_MILLIS)
                .forEach(this::dropSilent);
        wanted.filter(address -> isDue(address, nowMillis)).forEach(this::dial);
    }

    private void dropSilent(PeerSession session) {
        String peer = session.peer().map(PeerMessage.Hello::instance).getOrElse("");
        runtime.log()
                .record(
                        LogEvent.PEER_SILENT,
                        HashMap.of("remote", session.link().remote(), "peer", peer));
        session.peer().forEach(hello -> listener.unreachable(hello.address()));
        drop(session);
    }

    private Vector<PeerSession> unneeded(Set<String> wanted, long nowMillis) {
        Vector<PeerSession> all = established();
        Vector<PeerSession> needed = all.filter(session -> wanted.exists(session::reaches));
        // The link is kept until another one connects its data centre.
        return all.filter(PeerSession::isDialled)
                .reject(needed::contains)
                .reject(PeerSession::isChosenByPeer)
                .filter(session -> session.ageMillis(nowMillis) > SETTLING_MILLIS)
                .filter(session -> needed.exists(o -> o.isFrom(session.peer().get().dataCentre())));
    }

    private boolean isDue(String address, long nowMillis) {
        boolean resting = dialNotBefore.get().get(address).exists(time -> nowMillis < time);
        return !resting
                && !sessions.get().values().exists(session -> session.reaches(address))
                && !isReachedUnderAnotherAddress(address);
    }

    private boolean isReachedUnderAnotherAddress(String address) {
        return instanceAtAddress.get().get(address).exists(this::isEstablishedWith);
    }

    private boolean isEstablishedWith(String instance) {
        return established().exists(s -> s.peer().get().instance().equals(instance));
    }

    private void dial(String address) {
        long limit = runtime.clock().now() + DIAL_LIMIT_MILLIS;
        dialNotBefore.updateAndGet(map -> map.put(address, limit));
        runtime.transport()
                .connect(
                        address,
                        new LinkEvents(
                                link -> dialled(link, address),
                                this::received,
                                this::closed,
                                () -> dialFailed(address)));
    }

    private void dialFailed(String address) {
        rest(address);
        listener.unreachable(address);
    }

    private void rest(String address) {
        long jitter = runtime.random().applyAsLong(MAX_REDIAL_MILLIS - MIN_REDIAL_MILLIS + 1);
        long time = runtime.clock().now() + MIN_REDIAL_MILLIS + jitter;
        dialNotBefore.updateAndGet(map -> map.put(address, time));
    }

    private void dialled(PeerLink link, String address) {
        Handshake handshake = Handshake.dialling(settings, runtime.nonces().get());
        add(new PeerSession(link, Option.of(address), handshake, runtime.clock().now()));
        link.send(handshake.hello());
    }

    private void accepted(PeerLink link) {
        if (sessions.get().values().count(s -> !s.isEstablished()) >= MAX_HANDSHAKES) {
            link.close();
            return;
        }
        Handshake handshake = Handshake.accepting(settings, runtime.nonces().get());
        add(new PeerSession(link, Option.none(), handshake, runtime.clock().now()));
    }

    private void add(PeerSession session) {
        sessions.updateAndGet(map -> map.put(session.link(), session));
    }

    private void received(PeerLink link, PeerMessage message) {
        sessions.get().get(link).forEach(session -> received(session, message));
    }

    private void received(PeerSession session, PeerMessage message) {
        if (!session.isEstablished()) {
            shakeHands(session, message);
        } else if (message instanceof PeerMessage.Hello
                || message instanceof PeerMessage.HelloProof) {
            reject(session, "second handshake");
        } else {
            session.heard(runtime.clock().now());
            listener.received(session, message);
        }
    }

    private void shakeHands(PeerSession session, PeerMessage message) {
        Handshake.Step step = session.handshake().receive(message);
        if (step.failure().isDefined()) {
            reject(session, step.failure().get());
            return;
        }
        step.replies().forEach(session::send);
        session.heard(runtime.clock().now());
        session.advance(step.next(), step.established());
        step.established().forEach(hello -> established(session, hello));
    }

    private void established(PeerSession session, PeerMessage.Hello hello) {
        String instance = hello.instance();
        session.dialledAddress()
                .forEach(
                        address ->
                                instanceAtAddress.updateAndGet(map -> map.put(address, instance)));
        Vector<PeerSession> others =
                established()
                        .filter(other -> other != session)
                        .filter(other -> other.peer().get().instance().equals(instance));
        if (others.exists(other -> !isBetter(session, other))) {
            drop(session);
            return;
        }
        others.forEach(this::drop);
        runtime.log()
                .record(
                        LogEvent.PEER_CONNECTED,
                        HashMap.of("peer", instance, "remote", session.link().remote()));
        listener.established(session);
    }

    /**
     * Which of two links to the same instance is kept. Both ends decide alike: the later
     * incarnation wins; of links dialled from both ends, the one that the lower identifier dialled;
     * of links dialled from one end, the later, because its end has given up the earlier.
     */
    private boolean isBetter(PeerSession later, PeerSession earlier) {
        PeerMessage.Hello hello = later.peer().get();
        long before = earlier.peer().get().incarnation();
        if (hello.incarnation() != before) {
            return hello.incarnation() > before;
        }
        if (later.isDialled() == earlier.isDialled()) {
            return true;
        }
        boolean ownIsLower = settings.instance().compareTo(hello.instance()) < 0;
        return later.isDialled() == ownIsLower;
    }

    private void drop(PeerSession session) {
        session.link().close();
        closed(session.link());
    }

    private void closed(PeerLink link) {
        Option<PeerSession> session = sessions.getAndUpdate(map -> map.remove(link)).get(link);
        session.flatMap(PeerSession::dialledAddress).forEach(this::rest);
        session.filter(PeerSession::isEstablished).forEach(listener::lost);
        session.filter(lost -> !lost.isEstablished())
                .flatMap(PeerSession::dialledAddress)
                .forEach(listener::unreachable);
    }
}
