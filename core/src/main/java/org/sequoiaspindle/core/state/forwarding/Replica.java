package org.sequoiaspindle.core.state.forwarding;

/**
 * A replica of a service as registered in the store.
 *
 * @param address address at which the replica accepts requests
 * @param dataCentre data centre in which the replica runs
 * @param slots maximum number of concurrent requests
 * @param draining whether the replica is shutting down and accepts no new requests
 * @param coldMillis time for which the replica stays cold from when it wrote the registration, in
 *     milliseconds
 */
public record Replica(
        ReplicaId id,
        String service,
        HostPort address,
        String dataCentre,
        int slots,
        boolean draining,
        long coldMillis) {

    /** Creates a replica that is not cold. */
    public Replica(
            ReplicaId id,
            String service,
            HostPort address,
            String dataCentre,
            int slots,
            boolean draining) {
        this(id, service, address, dataCentre, slots, draining, 0);
    }
}
