package org.sequoiaspindle.core.protocol.forwarding;

import io.vavr.Tuple;
import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.common.Invariants;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.forwarding.permit.ClockReading;
import org.sequoiaspindle.core.coordination.forwarding.permit.IssuerElection;
import org.sequoiaspindle.core.coordination.forwarding.permit.IssuerRole;
import org.sequoiaspindle.core.coordination.forwarding.permit.LeaseHold;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * The roles of this instance as the issuer of permits for cold replicas. A role is a key that only
 * one instance can create, under the lease of the instance. {@link #issue} may be called from any
 * thread, the other methods from one.
 */
public final class IssuerRoles implements PermitIssuer {

    /** Interval of {@link #check}, in milliseconds. */
    public static final long CHECK_INTERVAL_MS = 100;

    /** Time after a claim without a result in which the watch may still show it. */
    private static final long CLAIM_TIMEOUT_MS = 2_000;

    /**
     * Time for which a role outlasts the registration of its replica, in milliseconds. After an
     * outage of the store, replicas may need some seconds to register again.
     */
    private static final long ROLE_RETENTION_MS = 10_000;

    /**
     * Time without permits after a warm replica has become cold again, in milliseconds. Instances
     * that have not read it yet still send without permits; the watch of most delivers it within
     * half a second.
     */
    static final long COLD_AGAIN_WAIT_MS = 1_000;

    /**
     * What the roles depend on.
     *
     * @param process unique name of this process
     * @param instances returns the names of the known instances
     * @param lease returns the current lease, empty if there is none
     * @param coldReplicas returns the replicas that need an issuer
     * @param isRegistered returns whether a replica is registered
     * @param spacingMillis returns the time between two permits for a replica, empty if none may be
     *     issued
     */
    public record Environment(
            String instance,
            String process,
            Supplier<Collection<String>> instances,
            Supplier<Optional<LeaseHold>> lease,
            Supplier<Collection<Replica>> coldReplicas,
            Function<Replica, Boolean> isRegistered,
            Function<Replica, OptionalLong> spacingMillis,
            Supplier<ClockReading> clocks) {}

    private final Environment environment;
    private final IssuerDirectory directory;
    private final Store store;
    private final EventLog events;
    private final AtomicReference<Map<String, IssuerRole>> roles =
            new AtomicReference<>(HashMap.empty());
    private final AtomicLong claimNumber = new AtomicLong();

    /** Time from which each cold replica has had no issuer, which the end of a claim defers. */
    private final AtomicReference<Map<String, Long>> unclaimedSince =
            new AtomicReference<>(HashMap.empty());

    /** Last time at which the replica of each role was registered. */
    private final AtomicReference<Map<String, Long>> registeredAt =
            new AtomicReference<>(HashMap.empty());

    /** Names of the replicas that were cold at the last check. */
    private final AtomicReference<Set<String>> coldBefore = new AtomicReference<>(HashSet.empty());

    /** Revisions of keys that are being deleted. */
    private final AtomicReference<Set<Long>> deleted = new AtomicReference<>(HashSet.empty());

    public IssuerRoles(
            Environment environment, IssuerDirectory directory, Store store, EventLog events) {
        this.environment = environment;
        this.directory = directory;
        this.store = store;
        this.events = events;
    }

    /** Returns whether this instance holds the role for a replica, with a lease that may end. */
    public boolean holds(String replica) {
        return roles.get().get(replica).exists(IssuerRole::isConfirmed);
    }

    @Override
    public PermitReply issue(String replica) {
        while (true) {
            Map<String, IssuerRole> current = roles.get();
            Optional<IssuerRole> role = current.get(replica).toJavaOptional();
            Optional<LeaseHold> hold = environment.lease().get();
            ClockReading now = environment.clocks().get();
            if (role.isEmpty() || hold.isEmpty() || !hold.get().isCertain(now)) {
                return PermitReply.NOT_ISSUER;
            }
            OptionalLong spacing = environment.spacingMillis().apply(role.get().replica());
            if (spacing.isEmpty() || !role.get().isConfirmed()) {
                return PermitReply.NOT_ISSUER;
            }
            if (!role.get().mayIssue(hold.get(), now)) {
                return new PermitReply(
                        false, Math.max(0, role.get().nextIssueAt() - now.monotonicMillis()));
            }
            IssuerRole next = role.get().afterIssue(spacing.getAsLong(), now.monotonicMillis());
            if (roles.compareAndSet(current, current.put(replica, next))) {
                return new PermitReply(true, spacing.getAsLong());
            }
        }
    }

    /** Claims roles that nobody holds and gives up those that have ended. */
    public void check() {
        if (!directory.isListed()) {
            return;
        }
        ClockReading now = environment.clocks().get();
        Optional<LeaseHold> hold =
                environment.lease().get().filter(current -> current.isCertain(now));
        roles.get().forEach((replica, role) -> checkRole(replica, role, hold, now));
        deleteForgottenKeys();
        postponeColdAgain(now.monotonicMillis());
        claimMissing(hold, now.monotonicMillis());
    }

    /** Gives up all roles. Their keys are deleted, so that other instances can claim them. */
    public void release() {
        roles.getAndSet(HashMap.empty())
                .forEach((replica, role) -> deleteKey(IssuerKeys.key(replica), role.version()));
    }

    private void checkRole(
            String replica, IssuerRole role, Optional<LeaseHold> hold, ClockReading now) {
        IssuerDirectory.Entry entry = directory.entry(IssuerKeys.key(replica));
        boolean shown = entry.holder().filter(h -> h.claim().equals(role.claim())).isPresent();
        if (!role.isConfirmed()) {
            if (shown) {
                confirm(replica, role.claim(), entry.revision());
            }
            return;
        }
        if (hold.isPresent() && hold.get().lease() != role.lease()) {
            // The store has deleted the key with the earlier lease.
            forget(replica, role, "lease expired");
        } else if (!shown && entry.revision() > role.version()) {
            forget(replica, role, "key removed");
        } else if (isGone(replica, role, now.monotonicMillis())) {
            forget(replica, role, "endpoint gone");
            deleteKey(IssuerKeys.key(replica), role.version());
        }
    }

    private boolean isGone(String replica, IssuerRole role, long now) {
        if (environment.isRegistered().apply(role.replica())) {
            registeredAt.updateAndGet(times -> times.put(replica, now));
            return false;
        }
        return now - registeredAt.get().getOrElse(replica, now) > ROLE_RETENTION_MS;
    }

    private void postponeColdAgain(long now) {
        Set<String> cold =
                HashSet.ofAll(environment.coldReplicas().get()).map(r -> r.id().toString());
        Set<String> coldAgain = cold.diff(coldBefore.getAndSet(cold));
        if (coldAgain.isEmpty()) {
            return;
        }
        roles.updateAndGet(
                current ->
                        current.map(
                                (replica, role) ->
                                        Tuple.of(
                                                replica,
                                                coldAgain.contains(replica)
                                                        ? role.postponed(now + COLD_AGAIN_WAIT_MS)
                                                        : role)));
    }

    private void claimMissing(Optional<LeaseHold> hold, long now) {
        Map<String, Long> since = HashMap.empty();
        for (Replica replica : environment.coldReplicas().get()) {
            String name = replica.id().toString();
            if (roles.get().containsKey(name) || directory.issuerOf(name).isPresent()) {
                continue;
            }
            long unclaimed = unclaimedSince.get().getOrElse(name, now);
            since = since.put(name, unclaimed);
            if (hold.isPresent()
                    && unclaimed <= now
                    && IssuerElection.shouldClaim(
                            environment.instance(),
                            environment.instances().get(),
                            name,
                            now - unclaimed)) {
                claim(replica, hold.get().lease());
            }
        }
        unclaimedSince.set(since);
    }

    private void claim(Replica replica, long lease) {
        String name = replica.id().toString();
        String claim = environment.process() + "-" + claimNumber.incrementAndGet();
        roles.updateAndGet(current -> current.put(name, IssuerRole.claimed(replica, claim, lease)));
        Invariants.reportFailure(
                store.execute(
                                new StoreCommand.CompareAndSwap(
                                        IssuerKeys.key(name),
                                        StoreCommand.ABSENT,
                                        IssuerKeys.encode(
                                                new IssuerKeys.Holder(
                                                        environment.instance(),
                                                        environment.process(),
                                                        claim)),
                                        lease))
                        .thenAccept(result -> claimed(name, claim, result)));
    }

    private void claimed(String replica, String claim, StoreResult result) {
        if (result instanceof StoreResult.Swapped swapped) {
            confirm(replica, claim, swapped.version());
            return;
        }
        // A write without a result may still take effect; its key is then deleted as forgotten.
        roles.updateAndGet(
                current ->
                        current.get(replica).exists(role -> role.claim().equals(claim))
                                ? current.remove(replica)
                                : current);
        long retryAt = environment.clocks().get().monotonicMillis() + CLAIM_TIMEOUT_MS;
        unclaimedSince.updateAndGet(current -> current.put(replica, retryAt));
        if (!(result instanceof StoreResult.Conflict)) {
            events.record(
                    LogEvent.ISSUER_CLAIM_FAILED,
                    HashMap.of("endpoint", replica, "reason", String.valueOf(result)));
        }
    }

    private void confirm(String replica, String claim, long version) {
        long now = environment.clocks().get().monotonicMillis();
        Map<String, IssuerRole> before =
                roles.getAndUpdate(
                        current ->
                                current.get(replica)
                                        .filter(role -> role.claim().equals(claim))
                                        .map(role -> confirmed(role, version, now))
                                        .map(role -> current.put(replica, role))
                                        .getOrElse(current));
        if (before != roles.get() && !before.get(replica).exists(IssuerRole::isConfirmed)) {
            registeredAt.updateAndGet(times -> times.put(replica, now));
            events.record(LogEvent.ISSUER_ROLE_TAKEN, HashMap.of("endpoint", replica));
        }
    }

    private IssuerRole confirmed(IssuerRole role, long version, long now) {
        long spacing = environment.spacingMillis().apply(role.replica()).orElse(0);
        return role.confirmed(version, spacing, now);
    }

    private void forget(String replica, IssuerRole role, String reason) {
        roles.updateAndGet(current -> current.remove(replica));
        registeredAt.updateAndGet(times -> times.remove(replica));
        events.record(
                LogEvent.ISSUER_ROLE_LOST,
                HashMap.of("endpoint", role.replica().id().toString(), "reason", reason));
    }

    /**
     * Deletes keys of this process that it does not rely on, such as those of claims whose result
     * was lost. They would otherwise keep other instances from claiming the role.
     */
    private void deleteForgottenKeys() {
        Map<String, IssuerDirectory.Entry> own = directory.entriesOf(environment.process());
        deleted.updateAndGet(
                current ->
                        current.filter(revision -> own.exists(e -> e._2.revision() == revision)));
        own.filter((key, entry) -> !isInUse(key, entry))
                .forEach((key, entry) -> deleteKey(key, entry.revision()));
    }

    private boolean isInUse(String key, IssuerDirectory.Entry entry) {
        String claim = entry.holder().map(IssuerKeys.Holder::claim).orElse("");
        return roles.get()
                .exists(
                        role ->
                                IssuerKeys.key(role._1).equals(key)
                                        && role._2.claim().equals(claim));
    }

    private void deleteKey(String key, long version) {
        if (version == IssuerRole.UNCONFIRMED || deleted.get().contains(version)) {
            return;
        }
        deleted.updateAndGet(current -> current.add(version));
        Invariants.reportFailure(
                store.execute(new StoreCommand.Delete(key, version))
                        .thenAccept(
                                result -> {
                                    if (result instanceof StoreResult.Unavailable) {
                                        deleted.updateAndGet(current -> current.remove(version));
                                    }
                                }));
    }
}
