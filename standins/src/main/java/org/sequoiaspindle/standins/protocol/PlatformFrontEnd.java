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
    private final DelayedInstanceList instances;
    private final long defaultLagMs;
    private final EnumCounter<CallKind> calls = new EnumCounter<>(CallKind.class);
    private final AtomicReference<PlatformFault> fault =
            new AtomicReference<>(PlatformFault.none());

    public PlatformFrontEnd(KeyValueStore store, DelayedInstanceList instances, long defaultLagMs) {
        this.store = store;
        this.instances = instances;
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
                                call -> HttpReply.json(200, calls.countsByWireName())),
                        immediate("POST", "/admin/calls/reset", call -> handleResetCalls()),
                        immediate("POST", "/admin/fault", this::handleSetFault)));
    }

    public EnumCounter<CallKind> calls() {
        return calls;
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

    private void read(String key, HttpCall call, HttpResponder responder) {
        serve(
                CallKind.READ,
                key,
                responder,
                () ->
                        valueResponse(
                                        modeFor(key) == Mode.STALE_READ
                                                ? store.readPrevious(key)
                                                : store.read(key))
                                .orElseGet(() -> HttpReply.error(404, "no such key")));
    }

    private void write(String key, HttpCall call, HttpResponder responder) {
        long ifVersion = call.requiredNumber("ifVersion");
        long lease = call.optionalNumber("lease").orElse(0L);
        if (call.body().size() > MAX_VALUE_BYTES) {
            serve(
                    CallKind.WRITE,
                    key,
                    responder,
                    () ->
                            HttpReply.error(
                                    413, "value is larger than " + MAX_VALUE_BYTES + " bytes"));
            return;
        }
        serve(
                CallKind.WRITE,
                key,
                responder,
                () -> writeResponse(store.write(key, ifVersion, call.body(), lease)));
    }

    private void delete(String key, HttpCall call, HttpResponder responder) {
        long ifVersion = call.requiredNumber("ifVersion");
        serve(CallKind.DELETE, key, responder, () -> writeResponse(store.delete(key, ifVersion)));
    }

    private void watch(String key, HttpCall call, HttpResponder responder) {
        long afterVersion = call.requiredNumber("afterVersion");
        long waitMs = call.requiredNumber("waitMs");
        calls.add(CallKind.WATCH);
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
            send(key, responder, valueResponse(value).orElseGet(() -> HttpReply.empty(204)));
        }
    }

    private void createLease(HttpCall call, HttpResponder responder) {
        long ttlMs = call.requiredNumber("ttlMs");
        serve(
                CallKind.LEASE,
                NO_KEY,
                responder,
                () -> HttpReply.json(200, Map.of("lease", store.leases().create(ttlMs))));
    }

    private void renewLease(String idAndAction, HttpCall call, HttpResponder responder) {
        if (!idAndAction.endsWith(RENEW_SUFFIX)) {
            responder.send(HttpReply.error(404, "no such path"));
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
                                ? HttpReply.json(200, Map.of("lease", id))
                                : HttpReply.error(404, "no such lease"));
    }

    private void listInstances(HttpCall call, HttpResponder responder) {
        serve(
                CallKind.INSTANCES,
                NO_KEY,
                responder,
                () -> HttpReply.json(200, instances.visibleInstances()));
    }

    private HttpReply handleSetInstances(HttpCall call) {
        List<ListedInstance> list =
                PlatformAdminMessages.parseInstances(call.body().toUtf8String());
        instances.set(list, call.optionalNumber("lagMs").orElse(defaultLagMs));
        return HttpReply.empty(204);
    }

    private HttpReply handleSetFault(HttpCall call) {
        setFault(PlatformAdminMessages.parseFault(call.body().toUtf8String()));
        return HttpReply.empty(204);
    }

    private HttpReply handleResetCalls() {
        calls.reset();
        return HttpReply.empty(204);
    }

    /**
     * Counts and executes a call and sends the response, unless the current fault prevents the
     * execution or the response.
     */
    private void serve(
            CallKind kind, String key, HttpResponder responder, Supplier<HttpReply> operation) {
        calls.add(kind);
        Mode mode = modeFor(key);
        if (mode == Mode.DOWN) {
            responder.disconnect();
            return;
        }
        HttpReply response = operation.get();
        boolean isWrite =
                kind == CallKind.WRITE || kind == CallKind.DELETE || kind == CallKind.LEASE;
        if (mode == Mode.EFFECT_WITHOUT_ANSWER && isWrite) {
            responder.disconnect();
            return;
        }
        send(key, responder, response);
    }

    private void send(String key, HttpResponder responder, HttpReply response) {
        if (modeFor(key) == Mode.SLOW) {
            responder.scheduler().schedule(fault.get().delayMs(), () -> responder.send(response));
            return;
        }
        responder.send(response);
    }

    private Mode modeFor(String key) {
        return fault.get().modeFor(key);
    }

    private static Optional<HttpReply> valueResponse(Optional<VersionedValue> value) {
        return value.map(
                versionedValue ->
                        HttpReply.bytes(versionedValue.value())
                                .withHeader(VERSION_HEADER, versionedValue.version()));
    }

    private static HttpReply writeResponse(WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            return HttpReply.empty(200).withHeader(VERSION_HEADER, applied.version());
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return HttpReply.empty(409).withHeader(VERSION_HEADER, conflict.actualVersion());
        }
        return HttpReply.error(410, "no such lease");
    }
}
