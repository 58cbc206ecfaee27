package org.sequoiaspindle.core.common;

/**
 * Events that the system logs. Their numbers are stable and listed in docs/events.md: 1xx lifecycle
 * and settings, 2xx configuration, 3xx requests, 4xx peers, 5xx store and claims, 6xx routing.
 */
public enum LogEvent {
    DAEMON_STARTED(101, Level.INFO, "daemon started"),
    DAEMON_READY(102, Level.INFO, "instance became ready"),
    DRAIN_STARTED(103, Level.INFO, "drain started"),
    DRAIN_ENDED(104, Level.INFO, "drain ended"),
    SETTINGS_INVALID(105, Level.ERROR, "settings are invalid"),
    INVARIANT_BROKEN(106, Level.ERROR, "invariant violated; the process stops"),
    SETTINGS_RELOADED(108, Level.INFO, "settings reloaded"),
    OUTPUT_DROPPED(109, Level.WARN, "output was not read; lines were dropped"),
    NO_CONFIGURATION(107, Level.WARN, "no configuration from the store or any peer yet"),
    CONFIGURATION_ADOPTED(201, Level.INFO, "configuration adopted"),
    CONFIGURATION_OLDER_IGNORED(202, Level.WARN, "older configuration ignored"),
    CONFIGURATION_UNREADABLE(203, Level.ERROR, "configuration could not be read"),
    CONFIGURATION_PUBLISHED(204, Level.INFO, "configuration published"),
    CONFIGURATION_REFUSED(205, Level.WARN, "publication refused"),
    REQUEST_ENDED(301, Level.DEBUG, "request ended"),
    FORWARD_ENDED(304, Level.INFO, "forwarded request ended"),
    ATTEMPT_FAILED(305, Level.INFO, "attempt at a replica failed"),
    PIECES_MADE(306, Level.INFO, "batch of pieces ended"),
    LATE_ANSWER_DROPPED(302, Level.WARN, "answer dropped: late, or for another request"),
    REQUEST_REJECTED(303, Level.INFO, "malformed or unauthorised request rejected"),
    STRAY_ANSWER(307, Level.INFO, "answer to no request or to another one was not used"),
    CONNECTION_CLOSED_FOR_MEMORY(
            320, Level.WARN, "connection of a stalled client closed; memory is short"),
    CONNECTION_DISPLACED(321, Level.INFO, "idle connection closed in favour of a new one"),
    CONNECTION_REFUSED(322, Level.WARN, "connection refused; there are too many"),
    ANSWER_NOT_READ(323, Level.INFO, "connection closed; its client does not read the answer"),
    PEER_CONNECTED(401, Level.INFO, "peer connected"),
    PEER_SILENT(402, Level.WARN, "peer link timed out; closed"),
    PEER_SUSPECTED(403, Level.WARN, "peer suspected"),
    PEER_REJECTED(404, Level.WARN, "peer rejected"),
    PEER_LIST_UNAVAILABLE(405, Level.WARN, "instance list unavailable"),
    STORE_UNAVAILABLE(501, Level.WARN, "store unavailable"),
    STORE_RECOVERED(502, Level.INFO, "store available again"),
    WATCH_SILENT(503, Level.WARN, "watch timed out; replaced"),
    CLAIM_UNFINISHED(504, Level.WARN, "outcome of a claim could not be recorded"),
    STORE_READER_CHANGED(505, Level.INFO, "store is read through another instance"),
    ENDPOINT_EJECTED(601, Level.WARN, "endpoint ejected"),
    ENDPOINT_RESTORED(602, Level.INFO, "endpoint restored"),
    ENDPOINT_LEAVING(603, Level.INFO, "endpoint is leaving"),
    SPILL_STARTED(604, Level.WARN, "spillover to another data centre started"),
    SPILL_ENDED(605, Level.INFO, "spillover to another data centre ended"),
    ENDPOINT_ADDED(606, Level.INFO, "endpoint registered"),
    PROMPT_PART_SUSPECTED(607, Level.WARN, "endpoint crashed before it answered a prompt"),
    PROMPT_PART_CLEARED(608, Level.INFO, "prompt part answered; evidence withdrawn"),
    CRASH_EVIDENCE_NOT_SHARED(609, Level.WARN, "evidence of a crash could not be shared"),
    ENDPOINT_ANNOUNCED_LEAVING(610, Level.INFO, "endpoint announced its shutdown in an answer"),
    ENDPOINT_PAUSED(611, Level.INFO, "endpoint asked for no requests for some time"),
    DATA_CENTRE_EVACUATED(612, Level.WARN, "data centre evacuated"),
    DATA_CENTRE_RESTORED(613, Level.INFO, "data centre restored"),
    ENDPOINT_COLD(620, Level.INFO, "endpoint is cold"),
    ISSUER_ROLE_TAKEN(621, Level.INFO, "instance issues the permits for a cold endpoint"),
    ISSUER_ROLE_LOST(622, Level.INFO, "instance no longer issues the permits for an endpoint"),
    ISSUER_CLAIM_FAILED(623, Level.WARN, "role of the issuer could not be claimed"),
    COLD_RATE_LOWERED(624, Level.WARN, "permits are issued below the rate of the service"),
    ENDPOINT_SLOWED(630, Level.INFO, "endpoint carries less than half of its usual rate"),
    ENDPOINT_PACE_RESTORED(631, Level.INFO, "endpoint carries its usual rate again");

    /** Severity of an event. */
    public enum Level {
        DEBUG,
        INFO,
        WARN,
        ERROR
    }

    private final int number;
    private final Level level;
    private final String message;

    LogEvent(int number, Level level, String message) {
        this.number = number;
        this.level = level;
        this.message = message;
    }

    public int number() {
        return number;
    }

    public Level level() {
        return level;
    }

    public String message() {
        return message;
    }
}
