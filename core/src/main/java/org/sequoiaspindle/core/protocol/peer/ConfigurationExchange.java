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
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;
import org.sequoiaspindle.core.protocol.publication.PartSource;

/** Fetches newer configurations from peers and serves the active configuration to peers. */
final class ConfigurationExchange {

    /**
     * Time in milliseconds after which a head that one peer did not send is requested from another
     * peer.
     */
    static final long HEAD_TIMEOUT_MILLIS = 1_000;

    /** Timeout of a fetch of parts from a peer, in milliseconds. */
    static final long PARTS_TIMEOUT_MILLIS = 3_000;

    /**
     * Maximum size of the parts in one reply in bytes: half of a frame. A single larger part is
     * sent alone.
     */
    static final int MAX_REPLY_BYTES = PeerMessageWriter.MAX_FRAME_BYTES / 2;

    private static final HeadRequest NO_REQUEST = new HeadRequest(Option.none(), 0, 0, 0);

    private final PeerRuntime runtime;
    private final PeerServiceDependencies dependencies;
    private final AtomicLong lastCorrelation = new AtomicLong();
    private final AtomicReference<HeadRequest> headRequest = new AtomicReference<>(NO_REQUEST);
    private final AtomicReference<Map<Long, PartsFetch>> fetches =
            new AtomicReference<>(HashMap.empty());

    ConfigurationExchange(PeerRuntime runtime, PeerServiceDependencies dependencies) {
        this.runtime = runtime;
        this.dependencies = dependencies;
    }

    private record HeadRequest(
            Option<PeerSession> session, long correlation, long generation, long sentAtMillis) {}

    private record PartsFetch(
            PeerSession session,
            Vector<String> missingDigests,
            Map<String, String> collectedParts,
            CompletableFuture<Either<String, Map<String, String>>> result) {

        PartsFetch withParts(Map<String, String> receivedParts) {
            Map<String, String> requestedParts =
                    receivedParts.filterKeys(missingDigests.toSet()::contains);
            return new PartsFetch(
                    session,
                    missingDigests.reject(requestedParts::containsKey),
                    collectedParts.merge(requestedParts),
                    result);
        }
    }

    /** Processes a head that a peer announced or sent. */
    void onHead(PeerSession session, ConfigurationHead head) {
        if (head.generation() > dependencies.generation()) {
            dependencies.headReceiver().offer(head, partSource(session));
        }
    }

    /**
     * Requests the head of a peer that reports a newer generation, unless this generation was
     * requested from a peer less than {@link #HEAD_TIMEOUT_MILLIS} ago.
     */
    void onPeerGeneration(PeerSession session, long generation) {
        if (generation <= dependencies.generation()) {
            return;
        }
        long now = runtime.clock().now();
        HeadRequest previousRequest = headRequest.get();
        boolean recentlyRequested =
                previousRequest.generation() >= generation
                        && now - previousRequest.sentAtMillis() < HEAD_TIMEOUT_MILLIS;
        HeadRequest request =
                new HeadRequest(
                        Option.of(session), lastCorrelation.incrementAndGet(), generation, now);
        if (!recentlyRequested && headRequest.compareAndSet(previousRequest, request)) {
            session.send(new PeerMessage.FetchHead(request.correlation()));
        }
    }

    void onMessage(PeerSession session, PeerMessage.FetchHead fetch) {
        session.send(
                new PeerMessage.HeadReply(
                        fetch.correlation(), dependencies.activeConfiguration().get().head()));
    }

    void onMessage(PeerSession session, PeerMessage.HeadReply reply) {
        HeadRequest request = headRequest.get();
        if (request.session().contains(session) && request.correlation() == reply.correlation()) {
            reply.head().forEach(head -> onHead(session, head));
        }
    }

    void onMessage(PeerSession session, PeerMessage.FetchParts fetch) {
        Map<String, String> matchingParts =
                dependencies.activeConfiguration().get().select(fetch.digests());
        Map<String, String> batch = HashMap.empty();
        long bytes = 0;
        for (Tuple2<String, String> part : matchingParts) {
            int size = part._2.getBytes(StandardCharsets.UTF_8).length;
            if (batch.isEmpty() || bytes + size <= MAX_REPLY_BYTES) {
                batch = batch.put(part);
                bytes += size;
            }
        }
        boolean last = batch.size() == matchingParts.size();
        if (!session.send(new PeerMessage.PartsReply(fetch.correlation(), batch, last))) {
            session.send(new PeerMessage.PartsReply(fetch.correlation(), HashMap.empty(), true));
        }
    }

    void onMessage(PeerSession session, PeerMessage.PartsReply reply) {
        Option<PartsFetch> pendingFetch =
                fetches.get().get(reply.correlation()).filter(f -> f.session() == session);
        if (pendingFetch.isEmpty()) {
            return;
        }
        PartsFetch fetch = pendingFetch.get().withParts(reply.parts());
        if (fetch.missingDigests().isEmpty()) {
            completeFetch(reply.correlation(), Either.right(fetch.collectedParts()));
        } else if (reply.last()
                || fetch.collectedParts().size() == pendingFetch.get().collectedParts().size()) {
            completeFetch(
                    reply.correlation(),
                    Either.left("the peer lacks " + fetch.missingDigests().size() + " parts"));
        } else {
            fetches.updateAndGet(map -> map.replaceValue(reply.correlation(), fetch));
            session.send(new PeerMessage.FetchParts(reply.correlation(), fetch.missingDigests()));
        }
    }

    /** Fails the fetches on a closed link. */
    void onLinkClosed(PeerSession session) {
        fetches.get()
                .filterValues(fetch -> fetch.session() == session)
                .keySet()
                .forEach(
                        correlation ->
                                completeFetch(
                                        correlation, Either.left("the link to the peer closed")));
        headRequest.updateAndGet(
                request -> request.session().contains(session) ? NO_REQUEST : request);
    }

    private PartSource partSource(PeerSession session) {
        return digests -> fetch(session, digests);
    }

    private CompletionStage<Either<String, Map<String, String>>> fetch(
            PeerSession session, Vector<String> digests) {
        if (digests.isEmpty()) {
            return CompletableFuture.completedFuture(Either.right(HashMap.empty()));
        }
        long correlation = lastCorrelation.incrementAndGet();
        CompletableFuture<Either<String, Map<String, String>>> result = new CompletableFuture<>();
        PartsFetch fetch = new PartsFetch(session, digests, HashMap.empty(), result);
        fetches.updateAndGet(map -> map.put(correlation, fetch));
        Runnable cancelTimeout =
                runtime.timer()
                        .schedule(
                                PARTS_TIMEOUT_MILLIS,
                                () ->
                                        completeFetch(
                                                correlation,
                                                Either.left("the peer did not answer in time")));
        result.thenRun(cancelTimeout);
        if (!session.send(new PeerMessage.FetchParts(correlation, digests))) {
            completeFetch(correlation, Either.left("the link to the peer closed"));
        }
        return result;
    }

    private void completeFetch(long correlation, Either<String, Map<String, String>> outcome) {
        fetches.getAndUpdate(map -> map.remove(correlation))
                .get(correlation)
                .forEach(fetch -> fetch.result().complete(outcome));
    }
}
