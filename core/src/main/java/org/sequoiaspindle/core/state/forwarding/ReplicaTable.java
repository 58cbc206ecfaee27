package org.sequoiaspindle.core.state.forwarding;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The replicas that accept new requests, indexed by service, address and identifier. Immutable. */
public final class ReplicaTable {

    public static final ReplicaTable EMPTY = new ReplicaTable(List.of());

    private final Map<String, List<Replica>> byService;
    private final Map<HostPort, Replica> byAddress;
    private final Map<ReplicaId, Replica> byId;

    public ReplicaTable(Collection<Replica> replicas) {
        Map<String, List<Replica>> replicaLists = new HashMap<>();
        Map<HostPort, Replica> addresses = new HashMap<>();
        Map<ReplicaId, Replica> ids = new HashMap<>();
        for (Replica replica : replicas) {
            replicaLists.computeIfAbsent(replica.service(), name -> new ArrayList<>()).add(replica);
            addresses.put(replica.address(), replica);
            ids.put(replica.id(), replica);
        }
        replicaLists.replaceAll((name, list) -> List.copyOf(list));
        byService = Map.copyOf(replicaLists);
        byAddress = Map.copyOf(addresses);
        byId = Map.copyOf(ids);
    }

    /** Returns the replicas of a service, none for an unknown service. */
    public List<Replica> replicasOf(String service) {
        return byService.getOrDefault(service, List.of());
    }

    /** Returns the replica at an address, if there is one. */
    public Optional<Replica> replicaAt(HostPort address) {
        return Optional.ofNullable(byAddress.get(address));
    }

    public boolean contains(ReplicaId id) {
        return byId.containsKey(id);
    }

    public Collection<Replica> all() {
        return byId.values();
    }
}
