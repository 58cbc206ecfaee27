package org.sequoiaspindle.core.protocol.forwarding;

import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import org.sequoiaspindle.core.common.EventLog;
import org.sequoiaspindle.core.coordination.forwarding.permit.ClockReading;
import org.sequoiaspindle.core.coordination.forwarding.permit.IssueRate;
import org.sequoiaspindle.core.coordination.forwarding.permit.SendPermit;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.state.forwarding.ColdSpec;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;

/** Process of a simulated instance that sends to a cold replica whenever it may. */
final class SimulatedSender {

    static final long TTL_MS = 2_000;
    static final ColdSpec SPEC = new ColdSpec(3_000, 11);

    /** The tightest bound for the full rate of permits, which two issuers together exceed. */
    static final IssueRate RATE = new IssueRate(1, 7);

    private static final HostPort ADDRESS = new HostPort("127.0.0.1", 1);
    private static final Replica REPLICA =
            new Replica(new ReplicaId("e", 1), "engine", ADDRESS, "a", 64, false, 600_000);
    private static final long ASK_INTERVAL_MS = 20;

    /** Longest time between a permit and the send, for a connection. */
    private static final long MAX_CONNECT_MS = 100;

    private static final long BURST_INTERVAL_MS = 2_500;

    /** Faults of a machine; each lasts until the given time. */
    static final class Machine {
        long cutUntil;
        long frozenUntil;
        long suspendedMillis;
        long wallStep;
        long watchLag;
        long maxDelay = 5;
        boolean sendsInBursts;
    }

    private final SimulatedWorld world;
    private final String name;
    private final Machine machine;
    private final Map<String, SimulatedSender> fleet;
    private final List<Long> sends;
    private final IssuerDirectory directory = new IssuerDirectory();
    private final TreeSet<String> knownInstances = new TreeSet<>();
    private final InstanceRegistration registration;
    private final IssuerRoles roles;
    private long nextNaiveSendAt;
    private boolean dead;

    SimulatedSender(
            SimulatedWorld world,
            String name,
            Machine machine,
            Map<String, SimulatedSender> fleet,
            List<Long> sends) {
        this.world = world;
        this.name = name;
        this.machine = machine;
        this.fleet = fleet;
        this.sends = sends;
        registration =
                new InstanceRegistration(
                        command -> world.execute(command, isCut(), machine.maxDelay),
                        new InstanceEntry(name, "a", ADDRESS),
                        TTL_MS,
                        (delay, task) -> {
                            after(delay, task);
                            return () -> {};
                        },
                        this::clocks);
        roles =
                new IssuerRoles(
                        new IssuerRoles.Environment(
                                name,
                                name + "-" + world.random.nextLong(),
                                () -> knownInstances,
                                registration::lease,
                                () -> List.of(REPLICA),
                                replica -> true,
                                replica -> RATE.spacingMillis(SPEC),
                                this::clocks),
                        directory,
                        command -> world.execute(command, isCut(), machine.maxDelay),
                        EventLog.NONE);
    }

    void start(boolean naive) {
        fleet.put(name, this);
        knownInstances.add(name);
        world.watchers.add(change -> after(watchMillis(), () -> changed(change)));
        after(
                world.delay(machine.maxDelay),
                () -> {
                    list();
                    world.listing()
                            .filter(item -> !item.key().startsWith(IssuerKeys.PREFIX))
                            .forEach(this::changed);
                    registration.register();
                    repeat(IssuerRoles.CHECK_INTERVAL_MS, roles::check);
                    repeat(ASK_INTERVAL_MS, naive ? this::sendByShare : this::ask);
                });
    }

    /** Lists the issuers; the listing is applied after the lag of the watch. */
    void list() {
        long revision = world.revision();
        var items = world.listing().filter(item -> item.key().startsWith(IssuerKeys.PREFIX));
        after(machine.watchLag, () -> directory.replaceAll(items.asJava(), revision));
    }

    void stop() {
        dead = true;
    }

    private void changed(StoreChange change) {
        if (change.key().startsWith(IssuerKeys.PREFIX)) {
            directory.apply(change);
        } else if (change instanceof StoreChange.Written) {
            knownInstances.add(instanceOf(change));
        } else if (!instanceOf(change).equals(name)) {
            knownInstances.remove(instanceOf(change));
        }
    }

    private static String instanceOf(StoreChange change) {
        return change.key().substring(InstanceEntryCodec.PREFIX.length());
    }

    /** Returns the time until a change is read, which is not before the end of a cut. */
    private long watchMillis() {
        return Math.max(machine.watchLag, machine.cutUntil - world.now);
    }

    private boolean isCut() {
        return world.now < machine.cutUntil;
    }

    private ClockReading clocks() {
        return new ClockReading(
                world.now - machine.suspendedMillis, 1_000_000 + world.now + machine.wallStep);
    }

    /** Runs a task of the process, which does not run while its machine is frozen. */
    private void after(long delay, Runnable task) {
        world.at(
                world.now + delay,
                () -> {
                    if (!dead && world.now < machine.frozenUntil) {
                        after(machine.frozenUntil - world.now, task);
                    } else if (!dead) {
                        task.run();
                    }
                });
    }

    private void repeat(long interval, Runnable task) {
        task.run();
        after(interval, () -> repeat(interval, task));
    }

    private void ask() {
        SimulatedSender issuer =
                directory.issuerOf(REPLICA.id().toString()).map(fleet::get).orElse(null);
        if (issuer == null) {
            return;
        }
        SendPermit permit = new SendPermit(REPLICA.id(), clocks());
        issuer.after(
                world.delay(machine.maxDelay),
                () -> {
                    if (issuer.roles.issue(REPLICA.id().toString()).granted()) {
                        after(
                                world.delay(machine.maxDelay),
                                () -> after(connectMillis(), send(permit)));
                    }
                });
    }

    /** Bursts of all machines coincide, which is the worst that late sends can do. */
    private long connectMillis() {
        return machine.sendsInBursts
                ? BURST_INTERVAL_MS - world.now % BURST_INTERVAL_MS
                : world.random.nextLong(MAX_CONNECT_MS);
    }

    private Runnable send(SendPermit permit) {
        return () -> {
            if (permit.isUsable(clocks())) {
                sends.add(world.now);
            }
        };
    }

    /** Planted fault: each instance takes an equal share by the number of instances it knows. */
    private void sendByShare() {
        if (clocks().monotonicMillis() >= nextNaiveSendAt) {
            long interval = (long) (1_000 * knownInstances.size() / SPEC.requestsPerSecond());
            nextNaiveSendAt = clocks().monotonicMillis() + interval;
            sends.add(world.now);
        }
    }
}
