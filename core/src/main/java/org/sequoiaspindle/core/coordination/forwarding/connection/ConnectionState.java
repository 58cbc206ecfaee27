package org.sequoiaspindle.core.coordination.forwarding.connection;

import io.vavr.collection.HashSet;
import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.replica.StableHash;

/**
 * Decides to which request a response on a connection belongs, and whether the connection may carry
 * another request. A server may send copies of earlier responses at any time, whole or cut off, so
 * a response is recognised by the identifier that it names, and a connection is not used again once
 * it has received bytes that belong to no request. Immutable.
 *
 * @param carriedIds hashes of the identifiers of all requests that the connection has carried
 * @param requests number of requests that the connection has carried, with the current one
 * @param phase what the connection does
 * @param request the request in progress, or the last one
 * @param reusable whether the response in progress leaves the connection usable
 * @param discardedBytes bytes of responses to other requests since the request was sent
 */
public record ConnectionState(
        HashSet<Long> carriedIds,
        int requests,
        Phase phase,
        Request request,
        boolean reusable,
        long discardedBytes) {

    /**
     * Number of identified requests after which a connection is not used again. It bounds the
     * memory for their identifiers.
     */
    public static final int MAX_IDENTIFIED_REQUESTS = 1_000;

    /**
     * Bytes of responses to other requests after which the connection is closed, because a faulty
     * server may send them without end. A head counts as {@link #HEAD_BYTES}.
     */
    public static final int MAX_DISCARDED_BYTES = 1024 * 1024;

    static final int HEAD_BYTES = 1_024;

    /** A connection that has not carried a request. */
    public static final ConnectionState NEW =
            new ConnectionState(HashSet.empty(), 0, Phase.IDLE, Request.NONE, false, 0);

    /** What a connection does. */
    public enum Phase {
        /** No request is in progress, and the connection may carry one. */
        IDLE,
        /** A request was sent, and the head of its response is due. */
        AWAITING_HEAD,
        /** The response to the request is being read. */
        READING,
        /** An interim response, or a response to another request, is being read. */
        DISCARDING,
        /** The response is complete, but more bytes may follow it in the same read. */
        COMPLETE,
        /** The connection carries no further request. */
        RETIRED
    }

    /** What to do with the connection and with the request in progress. */
    public enum Decision {
        /** The bytes belong to the response to the request. */
        USE,
        /** The bytes are ignored, and the response to the request is still due. */
        DISCARD,
        /** The request has failed, and the connection is closed. */
        FAIL,
        /** The connection may carry another request. */
        KEEP,
        /** The connection is closed; no request is affected. */
        CLOSE
    }

    /** How the end of a response is found. */
    public enum BodyEnd {
        /** By a length, by chunks, or by the end of the head. */
        DELIMITED,
        /** By the end of the connection. */
        CONNECTION_CLOSE,
        /** Recipients may disagree, or the transfer coding is not supported. */
        UNCLEAR
    }

    /**
     * A request on the connection.
     *
     * @param id hash of the identifier, empty if responses do not name requests
     * @param hasBodilessResponse whether the response has no body whatever its head announces
     * @param written whether the whole request has been written
     */
    public record Request(Optional<Long> id, boolean hasBodilessResponse, boolean written) {

        static final Request NONE = new Request(Optional.empty(), false, true);
    }

    /** The state after an event, and what to do. */
    public record Transition(ConnectionState next, Decision decision) {}

    /** Returns whether the connection may carry a request. */
    public boolean isIdle() {
        return phase == Phase.IDLE;
    }

    /** Returns whether a response, or a part of it, is still due. */
    public boolean isWithinRequest() {
        return phase == Phase.AWAITING_HEAD || phase == Phase.READING || phase == Phase.DISCARDING;
    }

    /**
     * Returns whether the connection has carried a request with the identifier. Rarely also true
     * for another identifier with the same hash.
     */
    public boolean hasCarried(String requestId) {
        return carriedIds.contains(StableHash.of(requestId));
    }

    /**
     * Returns the state after a request was sent.
     *
     * @param requestId identifier that responses name, empty if they name none
     * @param hasBodilessResponse whether the response has no body whatever its head announces
     */
    public ConnectionState sent(Optional<String> requestId, boolean hasBodilessResponse) {
        Optional<Long> id = requestId.map(StableHash::of);
        return new ConnectionState(
                id.map(carriedIds::add).orElse(carriedIds),
                requests + 1,
                Phase.AWAITING_HEAD,
                new Request(id, hasBodilessResponse, false),
                false,
                0);
    }

    /** Returns the state after the whole request was written. */
    public ConnectionState written() {
        return new ConnectionState(
                carriedIds,
                requests,
                phase,
                new Request(request.id(), request.hasBodilessResponse(), true),
                reusable,
                discardedBytes);
    }

    /**
     * Decides to which request a response belongs. Without an identifier, it may be a late copy of
     * a response to any request that the connection has carried.
     *
     * @param namedId identifier that the response names
     * @return {@code USE}, {@code DISCARD} or {@code FAIL}
     */
    public Decision ownerOf(Optional<String> namedId) {
        if (request.id().isEmpty()) {
            return Decision.USE;
        }
        if (namedId.isEmpty()) {
            return requests > 1 ? Decision.FAIL : Decision.USE;
        }
        return namedId.map(StableHash::of).equals(request.id()) ? Decision.USE : Decision.DISCARD;
    }

    /** Handles the head of an interim response. */
    public Transition interimHeadReceived() {
        return new Transition(in(Phase.DISCARDING), Decision.DISCARD);
    }

    /**
     * Handles the head of a final response.
     *
     * @param owner result of {@link #ownerOf}
     * @param keepAlive whether the server keeps the connection
     */
    public Transition headReceived(Decision owner, BodyEnd bodyEnd, boolean keepAlive) {
        if (owner == Decision.FAIL || bodyEnd == BodyEnd.UNCLEAR) {
            return failed();
        }
        if (owner == Decision.DISCARD) {
            // The response to the request could not be told from the rest of this body.
            return bodyEnd == BodyEnd.CONNECTION_CLOSE
                    ? failed()
                    : new Transition(in(Phase.DISCARDING), Decision.DISCARD);
        }
        // A copy of a bodiless response announces bytes that do not follow, and would be completed
        // by the response to the next request.
        boolean leavesUsable =
                keepAlive && bodyEnd == BodyEnd.DELIMITED && !request.hasBodilessResponse();
        return new Transition(
                new ConnectionState(
                        carriedIds, requests, Phase.READING, request, leavesUsable, discardedBytes),
                Decision.USE);
    }

    /** Handles bytes of a body. */
    public Transition bodyReceived(int bytes) {
        if (phase != Phase.DISCARDING) {
            return new Transition(this, Decision.USE);
        }
        return discarded(bytes, Phase.DISCARDING);
    }

    /**
     * Handles the end of a response.
     *
     * @param isOwnResponse whether the complete response certainly belongs to the request
     * @return {@code DISCARD} or {@code FAIL} if another response is still due; otherwise {@code
     *     KEEP} if the connection may be used again unless more bytes follow in the same read, or
     *     {@code CLOSE}
     */
    public Transition responseEnded(boolean isOwnResponse) {
        if (phase == Phase.DISCARDING) {
            return discarded(HEAD_BYTES, Phase.AWAITING_HEAD);
        }
        // A server that responds before it has read the whole body still expects the rest of it.
        boolean isKept =
                isOwnResponse
                        && reusable
                        && request.written()
                        && carriedIds.size() < MAX_IDENTIFIED_REQUESTS;
        return isKept
                ? new Transition(in(Phase.COMPLETE), Decision.KEEP)
                : new Transition(in(Phase.RETIRED), Decision.CLOSE);
    }

    /**
     * Handles the end of a read.
     *
     * @param withinResponse whether bytes were received after the last complete response
     * @return {@code KEEP} or {@code CLOSE}, or {@code USE} while a request is in progress
     */
    public Transition readEnded(boolean withinResponse) {
        if (isWithinRequest()) {
            return new Transition(this, Decision.USE);
        }
        if (phase == Phase.RETIRED || withinResponse) {
            return unrequestedBytesReceived();
        }
        return new Transition(in(Phase.IDLE), Decision.KEEP);
    }

    /** Handles bytes that arrive while no request is in progress. */
    public Transition unrequestedBytesReceived() {
        return new Transition(in(Phase.RETIRED), Decision.CLOSE);
    }

    /** Handles the end of the connection, or of the request in progress without a response. */
    public Transition failed() {
        return new Transition(
                in(Phase.RETIRED), isWithinRequest() ? Decision.FAIL : Decision.CLOSE);
    }

    private Transition discarded(int bytes, Phase nextPhase) {
        long total = discardedBytes + bytes;
        if (total > MAX_DISCARDED_BYTES) {
            return failed();
        }
        return new Transition(
                new ConnectionState(carriedIds, requests, nextPhase, request, reusable, total),
                Decision.DISCARD);
    }

    private ConnectionState in(Phase nextPhase) {
        return new ConnectionState(
                carriedIds, requests, nextPhase, request, reusable, discardedBytes);
    }
}
