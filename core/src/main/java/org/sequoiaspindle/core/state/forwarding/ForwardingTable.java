package org.sequoiaspindle.core.state.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** One version of the forwarding configuration, indexed for lookups. Immutable. */
public final class ForwardingTable {

    /** Represents a missing configuration. The version is lower than any other. */
    public static final ForwardingTable NONE =
            new ForwardingTable(-1, List.of(), List.of(), IngressLimits.DEFAULT, Map.of(), false);

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceSpec> services;
    private final IngressLimits limits;
    private final Map<String, ApiKeyOwner> ownersByKey;
    private final boolean keyRequired;

    /**
     * Indexes a configuration.
     *
     * @param version version number, which increases with each published configuration
     * @param ownersByKey owners by API key
     * @param keyRequired whether requests need an API key unless their route is public
     */
    public ForwardingTable(
            long version,
            Collection<Route> routes,
            Collection<ServiceSpec> services,
            IngressLimits limits,
            Map<String, ApiKeyOwner> ownersByKey,
            boolean keyRequired) {
        this.version = version;
        this.routesByHost = groupByHost(routes);
        Map<String, ServiceSpec> servicesByName = new HashMap<>();
        services.forEach(service -> servicesByName.put(service.name(), service));
        this.services = Map.copyOf(servicesByName);
        this.limits = limits;
        this.ownersByKey = Map.copyOf(ownersByKey);
        this.keyRequired = keyRequired;
    }

    public long version() {
        return version;
    }

    public boolean isUnconfigured() {
        return version < 0;
    }

    public IngressLimits limits() {
        return limits;
    }

    /** Returns whether requests need an API key unless their route is public. */
    public boolean isKeyRequired() {
        return keyRequired;
    }

    /** Returns the route of the host with the longest prefix of the path. */
    public Optional<Route> route(String host, String path) {
        List<Route> candidates = routesByHost.get(host.toLowerCase(Locale.ROOT));
        if (candidates == null) {
            return Optional.empty();
        }
        for (Route route : candidates) {
            if (path.startsWith(route.prefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    public Optional<ApiKeyOwner> ownerOfKey(String key) {
        return Optional.ofNullable(ownersByKey.get(key));
    }

    public Optional<ServiceSpec> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    private static Map<String, List<Route>> groupByHost(Collection<Route> routes) {
        Map<String, List<Route>> routeLists = new HashMap<>();
        for (Route route : routes) {
            routeLists
                    .computeIfAbsent(
                            route.host().toLowerCase(Locale.ROOT), host -> new ArrayList<>())
                    .add(route);
        }
        Comparator<Route> longestFirst =
                Comparator.comparingInt((Route route) -> route.prefix().length()).reversed();
        routeLists.values().forEach(list -> list.sort(longestFirst));
        routeLists.replaceAll((host, list) -> List.copyOf(list));
        return Map.copyOf(routeLists);
    }
}
