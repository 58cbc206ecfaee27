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
 * In-memory network with a virtual clock. One thread; faults are functions that a test replaces.
 */
final class VirtualNetwork {

    private static final long LATENCY_MILLIS = 1;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final Map<String, LinkEvents> acceptors = new HashMap<>();
    private long now;
    private long order;

    final Random random = new Random(20261204);

    /** Whether nothing passes between two addresses, not even the end of a connection. */
    BiPredicate<String, String> silent = (from, to) -> false;

    /** Delays with which copies of a message arrive; none if it is lost. */
    Delivery delivery = (from, to, message) -> List.of(LATENCY_MILLIS);

    /** Every message that was sent. */
    final List<Sent> sent = new ArrayList<>();

    interface Delivery {
        List<Long> delays(String from, String to, PeerMessage message);
    }

    record Sent(String from, String to, PeerMessage message) {}

    private record Event(long atMillis, long order, Runnable task) {}

    long now() {
        return now;
    }

    void accept(String address, LinkEvents acceptor) {
        acceptors.put(address, acceptor);
    }

    Runnable schedule(long delayMillis, Runnable task) {
        Event event = new Event(now + delayMillis, order++, task);
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

    PeerTransport transport(String own) {
        return (address, dialling) ->
                schedule(LATENCY_MILLIS, () -> connect(own, address, dialling));
    }

    private void connect(String from, String to, LinkEvents dialling) {
        if (silent.test(from, to)) {
            return;
        }
        if (!acceptors.containsKey(to)) {
            dialling.failed().run();
            return;
        }
        End dialler = new End(from, to, dialling);
        End acceptor = new End(to, from, acceptors.get(to));
        dialler.other = acceptor;
        acceptor.other = dialler;
        acceptor.events.opened().accept(acceptor.link);
        dialler.events.opened().accept(dialler.link);
    }

    private final class End {
        private final String own;
        private final String remote;
        private final LinkEvents events;
        private final PeerLink link;
        private End other;
        private boolean open = true;

        End(String own, String remote, LinkEvents events) {
            this.own = own;
            this.remote = remote;
            this.events = events;
            this.link = new PeerLink(remote, this::send, this::close);
        }

        private boolean send(PeerMessage message) {
            if (!open || PeerMessageWriter.write(message).isLeft()) {
                return false;
            }
            byte[] frame = PeerMessageWriter.write(message).get();
            sent.add(new Sent(own, remote, message));
            for (long delay : delivery.delays(own, remote, message)) {
                schedule(delay, () -> other.arrive(frame));
            }
            return true;
        }

        private void arrive(byte[] frame) {
            if (open && !silent.test(remote, own)) {
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
                        if (!silent.test(own, remote)) {
                            other.close();
                        }
                    });
        }
    }
}
