package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongToDoubleFunction;
import java.util.stream.IntStream;
import org.sequoiaspindle.core.coordination.forwarding.admission.UsualFirstByteTimes;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.Replica;
import org.sequoiaspindle.core.state.forwarding.ReplicaId;
import org.sequoiaspindle.core.state.forwarding.ReplicaLoad;
import org.sequoiaspindle.core.state.forwarding.ReplicaTable;

/** Instances that send requests to replicas in steps of time, with or without the pace rule. */
final class PaceSimulation {

    static final int SLOTS = 6;
    static final int SERVICE_MS = 300;
    private static final int STEP_MS = 10;
    private static final int WARM_UP_MS = 1_000;

    /** Share of their capacity that the initial replicas are asked for. */
    private static final double UTILISATION = 0.6;

    /** Callers wait for four times the usual duration. */
    private static final int IN_TIME_MS = 4 * SERVICE_MS;

    record Result(int requests, int inTime, int refused, int failed) {
        double shareInTime() {
            return (double) inTime / requests;
        }

        double shareFailed() {
            return (double) failed / requests;
        }

        double shareRefused() {
            return (double) refused / requests;
        }
    }

    private record Job(int instance, Server server, long sentAt, double workMs) {
        Job after(double done) {
            return new Job(instance, server, sentAt, workMs - done);
        }
    }

    /** One replica; {@code slowness} is its execution time as a multiple of the usual one. */
    static final class Server {
        final Replica replica;
        LongToDoubleFunction slowness = now -> 1;
        boolean failing;
        int crashesAbove = Integer.MAX_VALUE;
        int received;
        int maxLoad;
        private List<Job> running = new ArrayList<>();
        private final ArrayDeque<Job> waiting = new ArrayDeque<>();
        private final ArrayDeque<ReplicaLoad> reports = new ArrayDeque<>();

        private Server(String name, long startedAt) {
            replica =
                    new Replica(
                            new ReplicaId(name, startedAt + 1),
                            "service",
                            new HostPort("127.0.0.1", 1),
                            "a",
                            SLOTS,
                            false);
        }

        int load() {
            return running.size() + waiting.size();
        }
    }

    final List<Server> servers = new ArrayList<>();
    private final List<ReplicaStatuses> instances;
    private final List<PaceRule> rules;
    private final List<UsualFirstByteTimes> usualTimes;
    private final ReplicaSelector selector;
    private final int staleMs;
    private final double requestsPerStep;
    private final SplittableRandom random = new SplittableRandom(7);
    private Result result = new Result(0, 0, 0, 0);
    private long now;

    PaceSimulation(
            boolean pace, int instanceCount, int count, int staleMs, ReplicaSelector selector) {
        this.staleMs = staleMs;
        this.selector = selector;
        IntStream.range(0, count).forEach(i -> servers.add(new Server("s" + i, 0)));
        requestsPerStep = UTILISATION * count * SLOTS * STEP_MS / SERVICE_MS;
        instances = new ArrayList<>();
        rules = new ArrayList<>();
        for (int i = 0; i < instanceCount; i++) {
            AtomicReference<ReplicaStatuses> statuses = new AtomicReference<>();
            PaceRule rule = new PaceRule("i" + i, replica -> statuses.get().statusOf(replica));
            statuses.set(new ReplicaStatuses("a", pace ? rule : SendRule.UNRESTRICTED));
            instances.add(statuses.get());
            rules.add(rule);
        }
        usualTimes =
                IntStream.range(0, instanceCount).mapToObj(i -> new UsualFirstByteTimes()).toList();
        updateRules();
        runUntil(WARM_UP_MS);
        result = new Result(0, 0, 0, 0);
        servers.forEach(server -> server.maxLoad = 0);
    }

    Server add(String name) {
        Server server = new Server(name, now);
        servers.add(server);
        return server;
    }

    void remove(Server server) {
        servers.remove(server);
    }

    long now() {
        return now;
    }

    Result runUntil(long end) {
        for (; now < end; now += STEP_MS) {
            double expected = requestsPerStep;
            for (; expected > random.nextDouble(); expected--) {
                send(random.nextInt(instances.size()));
            }
            List.copyOf(servers).forEach(this::work);
            if (now % 500 == 0) {
                updateRules();
            }
        }
        return result;
    }

    private void updateRules() {
        ReplicaTable table = new ReplicaTable(servers.stream().map(s -> s.replica).toList());
        rules.forEach(rule -> rule.update(table, now));
    }

    private void send(int instance) {
        result = counted(1, 0, 0, 0);
        List<Replica> replicas = servers.stream().map(server -> server.replica).toList();
        Optional<Replica> chosen =
                selector.select(
                        instances.get(instance).candidates(replicas, now),
                        "prompt" + random.nextInt(),
                        Set.of());
        Server server =
                servers.stream()
                        .filter(s -> chosen.equals(Optional.of(s.replica)))
                        .findFirst()
                        .orElseThrow();
        server.received++;
        ReplicaStatus status = instances.get(instance).statusOf(server.replica);
        if (server.failing) {
            result = counted(0, 0, 0, 1);
            status.recordLoad(new ReplicaLoad(0, 0, SLOTS, 100), now);
            status.updatePace(pace -> pace.afterFailure(now));
        } else if (server.load() >= 3 * SLOTS) {
            result = counted(0, 0, 1, 0);
            status.recordLoad(reportOf(server), now);
            status.updatePace(pace -> pace.afterRefusal(0, now).afterReport(reportOf(server), now));
        } else {
            status.requestStarted();
            server.waiting.add(new Job(instance, server, now, SERVICE_MS));
            server.maxLoad = Math.max(server.maxLoad, server.load());
        }
    }

    private void work(Server server) {
        double done = STEP_MS / server.slowness.applyAsDouble(now);
        List<Job> next = new ArrayList<>();
        server.running.stream().map(job -> job.after(done)).forEach(next::add);
        for (Iterator<Job> jobs = next.iterator(); jobs.hasNext(); ) {
            Job job = jobs.next();
            if (job.workMs() <= 0) {
                jobs.remove();
                answer(job);
            }
        }
        while (next.size() < SLOTS && !server.waiting.isEmpty()) {
            next.add(server.waiting.poll());
        }
        server.running = next;
        if (server.load() > server.crashesAbove) {
            crash(server);
        }
        int noise = random.nextInt(80, 121);
        server.reports.add(
                new ReplicaLoad(
                        server.running.size(),
                        server.waiting.size(),
                        SLOTS,
                        (int) (noise * server.slowness.applyAsDouble(now))));
        if (server.reports.size() > 1 + staleMs / STEP_MS) {
            server.reports.poll();
        }
    }

    private static ReplicaLoad reportOf(Server server) {
        return server.reports.isEmpty() ? new ReplicaLoad(0, 0, SLOTS, 100) : server.reports.peek();
    }

    private void answer(Job job) {
        long millis = now - job.sentAt();
        result = counted(0, millis <= IN_TIME_MS ? 1 : 0, 0, 0);
        ReplicaStatus status = instances.get(job.instance()).statusOf(job.server().replica);
        status.requestFinished();
        ReplicaLoad load = reportOf(job.server());
        status.recordLoad(load, now);
        status.updatePace(pace -> pace.afterSoundAnswer(now).afterReport(load, now));
        usualTimes
                .get(job.instance())
                .observe("route", 0, millis)
                .ifPresent(r -> status.updatePace(pace -> pace.afterFirstByte(r, now)));
    }

    private void crash(Server server) {
        servers.remove(server);
        server.running.forEach(this::lose);
        server.waiting.forEach(this::lose);
        server.running = List.of();
        server.waiting.clear();
    }

    private void lose(Job job) {
        ReplicaStatus status = instances.get(job.instance()).statusOf(job.server().replica);
        status.requestFinished();
        status.updatePace(pace -> pace.afterFailure(now));
        result = counted(0, 0, 0, 1);
    }

    private Result counted(int requests, int inTime, int refused, int failed) {
        return new Result(
                result.requests() + requests,
                result.inTime() + inTime,
                result.refused() + refused,
                result.failed() + failed);
    }
}
