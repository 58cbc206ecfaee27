package org.sequoiaspindle.standins.protocol;

import static org.sequoiaspindle.standins.protocol.Routes.answering;
import static org.sequoiaspindle.standins.protocol.Routes.below;
import static org.sequoiaspindle.standins.protocol.Routes.exact;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.sequoiaspindle.standins.coordination.CallCounter;
import org.sequoiaspindle.standins.coordination.InstanceListing;
import org.sequoiaspindle.standins.coordination.KeyValueStore;
import org.sequoiaspindle.standins.coordination.Watches;
import org.sequoiaspindle.standins.state.ListedInstance;
import org.sequoiaspindle.standins.state.PlatformFault;
import org.sequoiaspindle.standins.state.PlatformFault.Mode;
import org.sequoiaspindle.standins.state.Versioned;
import org.sequoiaspindle.standins.state.WriteResult;

/** HTTP conversation of the platform stand-in: keys, watches, leases, instance list, orders. */
public final class PlatformFrontend {

    /** Kinds of counted calls. */
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
    private static final String KEYS = "/v1/kv/";
    private static final String WATCH = "/v1/watch/";
    private static final String LEASES = "/v1/leases";
    private static final String RENEW = "/renew";
    private static final String NO_KEY = "";

    private final KeyValueStore store;
    private final InstanceListing instances;
    private final long defaultLagMs;
    private final CallCounter<CallKind> calls = new CallCounter<>(CallKind.class);
    private final AtomicReference<PlatformFault> fault =
            new AtomicReference<>(PlatformFault.none());

    public PlatformFrontend(KeyValueStore store, InstanceListing instances, long defaultLagMs) {
        this.store = store;
        this.instances = instances;
        this.defaultLagMs = defaultLagMs;
    }

    /** Routes of the platform's protocol and of the orders to the stand-in. */
    public HttpHandler handler() {
        return new Routes(
                List.of(
                        below("GET", KEYS, this::read),
                        below("PUT", KEYS, this::write),
                        below("DELETE", KEYS, this::delete),
                        below("GET", WATCH, this::watch),
                        exact("POST", LEASES, this::createLease),
                        below("POST", LEASES + "/", this::renewLease),
                        exact("GET", "/v1/instances", this::listInstances),
                        answering("PUT", "/admin/instances", this::setInstances),
                        answering(
                                "GET", "/admin/calls", call -> HttpReply.json(200, calls.counts())),
                        answering("POST", "/admin/calls/reset", call -> resetCalls()),
                        answering("POST", "/admin/fault", this::setFault)));
    }

    public CallCounter<CallKind> calls() {
        return calls;
    }

    /** Sets the fault in force; waiting watches that it hits end at once. */
    public void fault(PlatformFault newFault) {
        fault.set(newFault);
        if (newFault.mode() == Mode.DOWN) {
            store.watches().disconnect(newFault::hits);
        }
        if (newFault.mode() == Mode.SILENT_WATCH) {
            store.watches().silence(newFault::hits);
        }
    }

    private void read(String key, HttpCall call, Exchange exchange) {
        serve(
                CallKind.READ,
                key,
                exchange,
                () ->
                        valueReply(
                                        mode(key) == Mode.STALE_READ
                                                ? store.readPrevious(key)
                                                : store.read(key))
                                .orElseGet(() -> HttpReply.error(404, "no such key")));
    }

    private void write(String key, HttpCall call, Exchange exchange) {
        long ifVersion = call.requiredNumber("ifVersion");
        long lease = call.number("lease").orElse(0L);
        if (call.body().size() > MAX_VALUE_BYTES) {
            serve(
                    CallKind.WRITE,
                    key,
                    exchange,
                    () -> HttpReply.error(413, "value over " + MAX_VALUE_BYTES + " bytes"));
            return;
        }
        serve(
                CallKind.WRITE,
                key,
                exchange,
                () -> writeReply(store.write(key, ifVersion, call.body(), lease)));
    }

    private void delete(String key, HttpCall call, Exchange exchange) {
        long ifVersion = call.requiredNumber("ifVersion");
        serve(CallKind.DELETE, key, exchange, () -> writeReply(store.delete(key, ifVersion)));
    }

    private void watch(String key, HttpCall call, Exchange exchange) {
        long afterVersion = call.requiredNumber("afterVersion");
        long waitMs = call.requiredNumber("waitMs");
        calls.add(CallKind.WATCH);
        Mode mode = mode(key);
        if (mode == Mode.DOWN) {
            exchange.disconnect();
            return;
        }
        if (mode == Mode.SILENT_WATCH) {
            return;
        }
        Watches.Watch watch =
                store.watch(
                        key,
                        afterVersion,
                        value -> answerWatch(key, value, exchange),
                        exchange::disconnect);
        exchange.onDisconnect(() -> store.watches().forget(watch));
        exchange.timer().after(waitMs, () -> store.watches().expire(watch));
    }

    private void answerWatch(String key, Optional<Versioned> value, Exchange exchange) {
        Mode mode = mode(key);
        if (mode == Mode.DOWN) {
            exchange.disconnect();
            return;
        }
        if (mode != Mode.SILENT_WATCH) {
            reply(key, exchange, valueReply(value).orElseGet(() -> HttpReply.empty(204)));
        }
    }

    private void createLease(HttpCall call, Exchange exchange) {
        long ttlMs = call.requiredNumber("ttlMs");
        serve(
                CallKind.LEASE,
                NO_KEY,
                exchange,
                () -> HttpReply.json(200, Map.of("lease", store.leases().create(ttlMs))));
    }

    private void renewLease(String rest, HttpCall call, Exchange exchange) {
        if (!rest.endsWith(RENEW)) {
            exchange.answer(HttpReply.error(404, "no such path"));
            return;
        }
        long id = Long.parseLong(rest.substring(0, rest.length() - RENEW.length()));
        serve(
                CallKind.LEASE,
                NO_KEY,
                exchange,
                () ->
                        store.leases().renew(id)
                                ? HttpReply.json(200, Map.of("lease", id))
                                : HttpReply.error(404, "no such lease"));
    }

    private void listInstances(HttpCall call, Exchange exchange) {
        serve(CallKind.INSTANCES, NO_KEY, exchange, () -> HttpReply.json(200, instances.visible()));
    }

    private HttpReply setInstances(HttpCall call) {
        List<ListedInstance> list = PlatformMessages.instances(call.body().text());
        instances.set(list, call.number("lagMs").orElse(defaultLagMs));
        return HttpReply.empty(204);
    }

    private HttpReply setFault(HttpCall call) {
        fault(PlatformMessages.fault(call.body().text()));
        return HttpReply.empty(204);
    }

    private HttpReply resetCalls() {
        calls.reset();
        return HttpReply.empty(204);
    }

    private void serve(
            CallKind kind, String key, Exchange exchange, Supplier<HttpReply> operation) {
        calls.add(kind);
        Mode mode = mode(key);
        if (mode == Mode.DOWN) {
            exchange.disconnect();
            return;
        }
        HttpReply reply = operation.get();
        boolean changes =
                kind == CallKind.WRITE || kind == CallKind.DELETE || kind == CallKind.LEASE;
        if (mode == Mode.EFFECT_WITHOUT_ANSWER && changes) {
            exchange.disconnect();
            return;
        }
        reply(key, exchange, reply);
    }

    private void reply(String key, Exchange exchange, HttpReply reply) {
        if (mode(key) == Mode.SLOW) {
            exchange.timer().after(fault.get().delayMs(), () -> exchange.answer(reply));
            return;
        }
        exchange.answer(reply);
    }

    private Mode mode(String key) {
        return fault.get().modeFor(key);
    }

    private static Optional<HttpReply> valueReply(Optional<Versioned> value) {
        return value.map(
                held -> HttpReply.bytes(held.value()).withHeader(VERSION_HEADER, held.version()));
    }

    private static HttpReply writeReply(WriteResult result) {
        if (result instanceof WriteResult.Applied applied) {
            return HttpReply.empty(200).withHeader(VERSION_HEADER, applied.version());
        }
        if (result instanceof WriteResult.Conflict conflict) {
            return HttpReply.empty(409).withHeader(VERSION_HEADER, conflict.actualVersion());
        }
        return HttpReply.error(410, "no such lease");
    }
}
