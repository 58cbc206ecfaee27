package org.sequoiaspindle.core.protocol.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.BiPredicate;

/**
 * In-memory network with a virtual clock. Single-threaded. Tests inject faults by replacing {@link
 * #isBlocked} and {@link #delivery}.
 */
final class VirtualNetwork {

    private static final long LATENCY_MILLIS = 1;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::sequence));
    private final Map<String, LinkCallbacks> acceptors = new HashMap<>();
    private long now;
    private long sequence;

    final Random random = new Random(20261204);

    /**
     * Returns true if all traffic between two addresses is lost, including the closing of
     * connections.
     */
    BiPredicate<String, String> isBlocked = (from, to) -> false;

    /**
     * Delays in milliseconds of the copies of a message that arrive; empty if the message is lost.
     */
    Delivery delivery = (from, to, message) -> List.of(LATENCY_MILLIS);

    /** All messages sent so far. */
    final List<SentMessage> sentMessages = new ArrayList<>();

    interface Delivery {
        List<Long> delays(String from, String to, PeerMessage message);
    }

    record SentMessage(String from, String to, PeerMessage message) {}

    private record Event(long atMillis, long sequence, Runnable task) {}

    long now() {
        return now;
    }

    void accept(String address, LinkCallbacks acceptor) {
        acceptors.put(address, acceptor);
    }

    Runnable schedule(long delayMillis, Runnable task) {
        Event event = new Event(now + delayMillis, sequence++, task);
        events.add(event);
        return () -> events.remove(event);
    }

    void run(long millis) {
        long end = now + millis;
        while (!events.isEmpty() && events.peek().atMillis() <= end) {
            Event event = events.poll();
            now = event.atMillis();
            event.task().run();
        }
        now = end;
    }

    PeerTransport transport(String localAddress) {
        return (address, dialling) ->
                schedule(LATENCY_MILLIS, () -> connect(localAddress, address, dialling));
    }

    private void connect(String from, String to, LinkCallbacks dialling) {
        if (isBlocked.test(from, to)) {
            return;
        }
        if (!acceptors.containsKey(to)) {
            dialling.failed().run();
            return;
        }
        LinkEnd dialler = new LinkEnd(from, to, dialling);
        LinkEnd acceptor = new LinkEnd(to, from, acceptors.get(to));
        dialler.other = acceptor;
        acceptor.other = dialler;
        acceptor.events.opened().accept(acceptor.link);
        dialler.events.opened().accept(dialler.link);
    }

    private final class LinkEnd {
        private final String localAddress;
        private final String remoteAddress;
        private final LinkCallbacks events;
        private final PeerLink link;
        private LinkEnd other;
        private boolean open = true;

        LinkEnd(String localAddress, String remoteAddress, LinkCallbacks events) {
            this.localAddress = localAddress;
            this.remoteAddress = remoteAddress;
            this.events = events;
            this.link = new PeerLink(remoteAddress, this::send, this::close);
        }

        private boolean send(PeerMessage message) {
            if (!open || PeerMessageWriter.write(message).isLeft()) {
                return false;
            }
            byte[] frame = PeerMessageWriter.write(message).get();
            sentMessages.add(new SentMessage(localAddress, remoteAddress, message));
            for (long delay : delivery.delays(localAddress, remoteAddress, message)) {
                schedule(delay, () -> other.arrive(frame));
            }
            return true;
        }

        private void arrive(byte[] frame) {
            if (open && !isBlocked.test(remoteAddress, localAddress)) {
                events.received().accept(link, PeerMessageReader.read(frame).get().get());
            }
        }

        private void close() {
            if (!open) {
                return;
            }
            open = false;
            schedule(0, () -> events.closed().accept(link));
            schedule(
                    LATENCY_MILLIS,
                    () -> {
                        if (!isBlocked.test(localAddress, remoteAddress)) {
                            other.close();
                        }
                    });
        }
    }
}
