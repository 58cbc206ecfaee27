package org.sequoiaspindle.core.coordination.forwarding.admission;

import java.util.Optional;
import org.sequoiaspindle.core.coordination.forwarding.replica.StableHash;
import org.sequoiaspindle.core.state.forwarding.ApiKeyOwner;
import org.sequoiaspindle.core.state.forwarding.ForwardingTable;
import org.sequoiaspindle.core.state.forwarding.RequestMetadata;
import org.sequoiaspindle.core.state.forwarding.Route;
import org.sequoiaspindle.core.state.forwarding.WeightedService;

/** Decides whether a request may be forwarded, and to which service. */
public sealed interface Admission {

    /**
     * The request is forwarded.
     *
     * @param keyOwner owner of the API key that the request carries, empty on a public route
     */
    record Admitted(Route route, String service, Optional<ApiKeyOwner> keyOwner)
            implements Admission {

        /** Returns the priority of the request; 0 is the highest. */
        public int priority() {
            if (keyOwner.isPresent() && keyOwner.get().priority().isPresent()) {
                return keyOwner.get().priority().getAsInt();
            }
            return route.priority();
        }

        /** Returns how long the client waits for the response, from the arrival of the request. */
        public long timeoutMillis(RequestMetadata metadata) {
            return Math.min(metadata.timeoutMillis(), route.timeoutMillis());
        }
    }

    /** The request is rejected and is not sent to any replica. */
    record Rejected(RejectionReason reason) implements Admission {}

    /**
     * Decides on one request.
     *
     * @param keysConfirmed whether the store has recently confirmed that the API keys of the table
     *     are valid
     */
    static Admission decide(
            ForwardingTable table, RequestMetadata metadata, boolean keysConfirmed) {
        if (table.isUnconfigured()) {
            return new Rejected(RejectionReason.NO_CONFIGURATION);
        }
        Optional<Route> route = table.route(metadata.host(), metadata.path());
        if (route.isEmpty()) {
            return new Rejected(RejectionReason.NO_ROUTE);
        }
        boolean keyRequired = table.isKeyRequired() && !route.get().publicAccess();
        if (!keyRequired) {
            return new Admitted(
                    route.get(), selectService(route.get(), metadata.id()), Optional.empty());
        }
        if (!keysConfirmed) {
            return new Rejected(RejectionReason.KEYS_UNCONFIRMED);
        }
        Optional<ApiKeyOwner> keyOwner = metadata.apiKey().flatMap(table::ownerOfKey);
        if (keyOwner.isEmpty()) {
            return new Rejected(RejectionReason.UNKNOWN_KEY);
        }
        return new Admitted(route.get(), selectService(route.get(), metadata.id()), keyOwner);
    }

    /** Selects a target by weight. The same request identifier always selects the same target. */
    private static String selectService(Route route, String requestId) {
        if (route.targets().size() == 1) {
            return route.targets().get(0).service();
        }
        int total = route.targets().stream().mapToInt(WeightedService::weight).sum();
        if (total <= 0) {
            return route.targets().get(0).service();
        }
        long point = Math.floorMod(StableHash.of(route.name(), requestId), (long) total);
        for (WeightedService target : route.targets()) {
            point -= target.weight();
            if (point < 0) {
                return target.service();
            }
        }
        return route.targets().get(0).service();
    }
}
