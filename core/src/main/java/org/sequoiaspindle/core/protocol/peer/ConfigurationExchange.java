package org.sequoiaspindle.core.protocol.peer;

import io.vavr.Tuple2;
import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.protocol.publication.Head;
import org.sequoiaspindle.core.protocol.publication.PartSource;

/** Learns of configurations from peers and serves the own one to them. */
final class ConfigurationExchange {

    /** Time after which another peer is asked for a head that the first did not send. */
    static final long HEAD_LIMIT_MILLIS = 1_000;

    /** Time after which a fetch of parts from a peer has failed. */
    static final long PARTS_LIMIT_MILLIS = 3_000;

    /** Bytes of parts in one reply, unless one part alone is larger; half of a frame. */
    static final int REPLY_BYTES = PeerMessageWriter.MAX_FRAME_BYTES / 2;

    private static final HeadRequest NO_REQUEST = new HeadRequest(Option.none(), 0, 0, 0);

    private final PeerRuntime runtime;
    private final PeerDuties duties;
    private final AtomicLong correlations = new AtomicLong();
    private final AtomicReference<HeadRequest> headRequest = new AtomicReference<>(NO_REQUEST);
    private final AtomicReference<Map<Long, PartsFetch>> fetches =
            new AtomicReference<>(HashMap.empty());

    ConfigurationExchange(PeerRuntime runtime, PeerDuties duties) {
        this.runtime = runtime;
        this.duties = duties;
    }

    private record HeadRequest(
            Option<PeerSession> session, long correlation, long generation, long sentAtMillis) {}

    private record PartsFetch(
            PeerSession session,
            Vector<String> missing,
            Map<String, String> gathered,
            CompletableFuture<Either<String, Map<String, String>>> result) {

        PartsFetch with(Map<String, String> arrived) {
            Map<String, String> wanted = arrived.filterKeys(missing.toSet()::contains);
            return new PartsFetch(
                    session, missing.reject(wanted::containsKey), gathered.merge(wanted), result);
        }
    }

    /** Takes a head that a peer announced or sent. */
    void offered(PeerSession session, Head head) {
        if (head.generation() > duties.generation()) {
            duties.heads().offer(head, source(session));
        }
    }

    /** Asks the peer for its head if it is newer, unless a peer was asked for it just now. */
    void heardGeneration(PeerSession session, long generation) {
        if (generation <= duties.generation()) {
            return;
        }
        long now = runtime.clock().now();
        HeadRequest before = headRequest.get();
        boolean asked =
                before.generation() >= generation
                        && now - before.sentAtMillis() < HEAD_LIMIT_MILLIS;
        HeadRequest request =
                new HeadRequest(
                        Option.of(session), correlations.incrementAndGet(), generation, now);
        if (!asked && headRequest.compareAndSet(before, request)) {
            session.send(new PeerMessage.FetchHead(request.correlation()));
        }
    }

    void received(PeerSession session, PeerMessage.FetchHead fetch) {
        session.send(new PeerMessage.HeadReply(fetch.correlation(), duties.held().get().head()));
    }

    void received(PeerSession session, PeerMessage.HeadReply reply) {
        HeadRequest request = headRequest.get();
        if (request.session().contains(session) && request.correlation() == reply.correlation()) {
            reply.head().forEach(head -> offered(session, head));
        }
    }

    void received(PeerSession session, PeerMessage.FetchParts fetch) {
        Map<String, String> held = duties.held().get().select(fetch.digests());
        Map<String, String> batch = HashMap.empty();
        long bytes = 0;
        for (Tuple2<String, String> part : held) {
            int size = part._2.getBytes(StandardCharsets.UTF_8).length;
            if (batch.isEmpty() || bytes + size <= REPLY_BYTES) {
                batch = batch.put(part);
                bytes += size;
            }
        }
        boolean last = batch.size() == held.size();
        if (!session.send(new PeerMessage.PartsReply(fetch.correlation(), batch, last))) {
            session.send(new PeerMessage.PartsReply(fetch.correlation(), HashMap.empty(), true));
        }
    }

    void received(PeerSession session, PeerMessage.PartsReply reply) {
        Option<PartsFetch> known =
                fetches.get().get(reply.correlation()).filter(f -> f.session() == session);
        if (known.isEmpty()) {
            return;
        }
        PartsFetch fetch = known.get().with(reply.parts());
        if (fetch.missing().isEmpty()) {
            finish(reply.correlation(), Either.right(fetch.gathered()));
        } else if (reply.last() || fetch.gathered().size() == known.get().gathered().size()) {
            finish(
                    reply.correlation(),
                    Either.left("the peer lacks " + fetch.missing().size() + " parts"));
        } else {
            fetches.updateAndGet(map -> map.replaceValue(reply.correlation(), fetch));
            session.send(new PeerMessage.FetchParts(reply.correlation(), fetch.missing()));
        }
    }

    /** Ends the fetches on a link that is gone. */
    void lost(PeerSession session) {
        fetches.get()
                .filterValues(fetch -> fetch.session() == session)
                .keySet()
                .forEach(correlation -> finish(correlation, Either.left("the link broke")));
        headRequest.updateAndGet(
                request -> request.session().contains(session) ? NO_REQUEST : request);
    }

    private PartSource source(PeerSession session) {
        return digests -> fetch(session, digests);
    }

    private CompletionStage<Either<String, Map<String, String>>> fetch(
            PeerSession session, Vector<String> digests) {
        if (digests.isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(HashMap.empty()));
        }
        long correlation = correlations.incrementAndGet();
        CompletableFuture<Either<String, Map<String, String>>> result = new CompletableFuture<>();
        PartsFetch fetch = new PartsFetch(session, digests, HashMap.empty(), result);
        fetches.updateAndGet(map -> map.put(correlation, fetch));
        Runnable cancelLimit =
                runtime.timer()
                        .schedule(
                                PARTS_LIMIT_MILLIS,
                                () -> finish(correlation, Either.left("the peer did not answer")));
        result.thenRun(cancelLimit);
        if (!session.send(new PeerMessage.FetchParts(correlation, digests))) {
            finish(correlation, Either.left("the link broke"));
        }
        return result;
    }

    private void finish(long correlation, Either<String, Map<String, String>> outcome) {
        fetches.getAndUpdate(map -> map.remove(correlation))
                .get(correlation)
                .forEach(fetch -> fetch.result().complete(outcome));
    }
}
