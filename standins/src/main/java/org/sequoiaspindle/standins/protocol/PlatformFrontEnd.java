package org.sequoiaspindle.standins.protocol;

import static org.sequoiaspindle.standins.protocol.Router.exact;
import static org.sequoiaspindle.standins.protocol.Router.immediate;
import static org.sequoiaspindle.standins.protocol.Router.underPath;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.standins.coordination.DelayedInstanceList;
import org.sequoiaspindle.standins.coordination.EnumCounter;
import org.sequoiaspindle.standins.coordination.KeyValueStore;
import org.sequoiaspindle.standins.coordination.KeyWatches;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.PlatformFault.Mode;
import org.sequoiaspindle.standins.state.VersionedValue;
import org.sequoiaspindle.standins.state.WriteResult;

/**
 * HTTP interface of the platform stand-in: keys, watches, leases, instance list and admin commands.
 */
public final class PlatformFrontEnd {

    /** Kinds of call, counted separately. */
    public enum CallKind {
        READ,
        WRITE,
        DELETE,
        WATCH,
        LEASE,
        INSTANCES
    }

    private static final int MAX_VALUE_BYTES = 1_000_000;
    private static final String VERSION_HEADER = "Sequoia-Version";
    private static final String KEY_PATH = "/v1/kv/";
    private static final String WATCH_PATH = "/v1/watch/";
    private static final String LEASE_PATH = "/v1/leases";
    private static final String RENEW_SUFFIX = "/renew";
    private static final String NO_KEY = "";

    private final KeyValueStore store;
    private final DelayedInstanceList instanceList;
    private final long defaultLagMs;
    private final EnumCounter<CallKind> callCounts = new EnumCounter<>(CallKind.class);
    private final AtomicReference<PlatformFault> fault =
            new AtomicReference<>(PlatformFault.none());

    public PlatformFrontEnd(
            KeyValueStore store, DelayedInstanceList instanceList, long defaultLagMs) {
        this.store = store;
        this.instanceList = instanceList;
        this.defaultLagMs = defaultLagMs;
    }

    /** Returns the handler for the platform protocol and the admin commands. */
    public HttpHandler handler() {
        return new Router(
                List.of(
                        underPath("GET", KEY_PATH, this::read),
                        underPath("PUT", KEY_PATH, this::write),
                        underPath("DELETE", KEY_PATH, this::delete),
                        underPath("GET", WATCH_PATH, this::watch),
                        exact("POST", LEASE_PATH, this::createLease),
                        underPath("POST", LEASE_PATH + "/", this::renewLease),
                        exact("GET", "/v1/instances", this::listInstances),
                        immediate("PUT", "/admin/instances", this::handleSetInstances),
                        immediate(
                                "GET",
                                "/admin/calls",
                                request -> FullResponse.json(200, callCounts.countsByWireName())),
                        immediate("POST", "/admin/calls/reset", request -> handleResetCalls()),
                        immediate("POST", "/admin/fault", this::handleSetFault)));
    }

    public EnumCounter<CallKind> callCounts() {
        return callCounts;
    }

    /** Sets the current fault; waiting watches affected by the fault end immediately. */
    public void setFault(PlatformFault newFault) {
        fault.set(newFault);
        if (newFault.mode() == Mode.DOWN) {
            store.watches().disconnectAll(newFault::appliesTo);
        }
        if (newFault.mode() == Mode.SILENT_WATCH) {
            store.watches().cancelAll(newFault::appliesTo);
        }
    }

    private void read(String key, FullRequest request, HttpResponder responder) {
        serve(
                CallKind.READ,
                key,
                responder,
                () ->
                        valueResponse(
                                        modeFor(key) == Mode.STALE_READ
                                                ? store.readPrevious(key)
                                                : store.read(key))
                                .orElseGet(() -> FullResponse.error(404, "no such key")));
    }

    private void write(String key, FullRequest request, HttpResponder responder) {
        long ifVersion = request.requiredNumber("ifVersion");
        long lease = request.optionalNumber("lease").orElse(0L);
        if (request.body().size() > MAX_VALUE_BYTES) {
            serve(
                    CallKind.WRITE,
                    key,
                    responder,
                    () ->
                            FullResponse.error(
                                    413, "value is larger than " + MAX_VALUE_BYTES + " bytes"));
            return;
        }
        serve(
                CallKind.WRITE,
                key,
                responder,
                () -> writeResponse(store.write(key, ifVersion, request.body(), lease)));
    }

    private void delete(String key, FullRequest request, HttpResponder responder) {
        long ifVersion = request.requiredNumber("ifVersion");
        serve(CallKind.DELETE, key, responder, () -> writeResponse(store.delete(key, ifVersion)));
    }

    private void watch(String key, FullRequest request, HttpResponder responder) {
        long afterVersion = request.requiredNumber("afterVersion");
        long waitMs = request.requiredNumber("waitMs");
        callCounts.add(CallKind.WATCH);
        Mode mode = modeFor(key);
        if (mode == Mode.DOWN) {
            responder.disconnect();
            return;
        }
        if (mode == Mode.SILENT_WATCH) {
            return;
        }
        KeyWatches.Watch watch =
                store.watch(
                        key,
                        afterVersion,
                        value -> respondToWatch(key, value, responder),
                        responder::disconnect);
        responder.onDisconnect(() -> store.watches().cancel(watch));
        responder.scheduler().schedule(waitMs, () -> store.watches().timeOut(watch));
    }

    private void respondToWatch(
            String key, Optional<VersionedValue> value, HttpResponder responder) {
        Mode mode = modeFor(key);
        if (mode == Mode.DOWN) {
            responder.disconnect();
            return;
        }
        if (mode != Mode.SILENT_WATCH) {
            send(key, responder, valueResponse(value).orElseGet(() -> FullResponse.empty(204)));
        }
    }

    private void createLease(FullRequest request, HttpResponder responder) {
        long ttlMs = request.requiredNumber("ttlMs");
        serve(
                CallKind.LEASE,
                NO_KEY,
                responder,
                () -> FullResponse.json(200, Map.of("lease", store.leases().create(ttlMs))));
    }

    private void renewLease(String idAndAction, FullRequest request, HttpResponder responder) {
        if (!idAndAction.endsWith(RENEW_SUFFIX)) {
            responder.send(FullResponse.error(404, "no such path"));
            return;
        }
        long id =
                Long.parseLong(
                        idAndAction.substring(0, idAndAction.length() - RENEW_SUFFIX.length()));
        serve(
                CallKind.LEASE,
                NO_KEY,
                responder,
                () ->
                        store.leases().renew(id)
                                ? FullResponse.json(200, Map.of("lease", id))
                                : FullResponse.error(404, "no such lease"));
    }

    private void listInstances(FullRequest request, HttpResponder responder) {
        serve(
                CallKind.INSTANCES,
                NO_KEY,
                responder,
                () -> FullResponse.json(200, instanceList.visibleInstances()));
    }

    private FullResponse handleSetInstances(FullRequest request) {
        List<ListedInstance> list =
                PlatformAdminMessages.parseInstances(request.body().toUtf8String());
        instanceList.set(list, request.optionalNumber("lagMs").orElse(defaultLagMs));
        return FullResponse.empty(204);
    }

    private FullResponse handleSetFault(FullRequest request) {
        setFault(PlatformAdminMessages.parseFault(request.body().toUtf8String()));
        return FullResponse.empty(204);
    }

    private FullResponse handleResetCalls() {
        callCounts.reset();
        return FullResponse.empty(204);
    }

    /**
     * Counts and executes a call and sends the response, unless the current fault prevents the
     * execution or the response.
     */
    private void serve(
            CallKind kind, String key, HttpResponder responder, Supplier<FullResponse> operation) {
        callCounts.add(kind);
        Mode mode = modeFor(key);
        if (mode == Mode.DOWN) {
            responder.disconnect();
            return;
        }
        FullResponse response = operation.get();
        boolean isWrite =
                kind == CallKind.WRITE || kind == CallKind.DELETE || kind == CallKind.LEASE;
        if (mode == Mode.EFFECT_WITHOUT_ANSWER && isWrite) {
            responder.disconnect();
            return;
        }
        send(key, responder, response);
    }

    private void send(String key, HttpResponder responder, FullResponse response) {
        if (modeFor(key) == Mode.SLOW) {
            responder.scheduler().schedule(fault.get().delayMs(), () -> responder.send(response));
            return;
        }
        responder.send(response);
    }

    private Mode modeFor(String key) {
        return fault.get().modeFor(key);
    }

    private static Optional<FullResponse> valueResponse(Optional<VersionedValue> value) {
        return value.map(
                versionedValue ->
                        FullResponse.bytes(versionedValue.value())
                                .withHeader(VERSION_HEADER, versionedValue.version()));
    }

    private static FullResponse writeResponse(WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            return FullResponse.empty(200).withHeader(VERSION_HEADER, applied.version());
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return FullResponse.empty(409).withHeader(VERSION_HEADER, conflict.actualVersion());
        }
        return FullResponse.error(410, "no such lease");
    }
}
