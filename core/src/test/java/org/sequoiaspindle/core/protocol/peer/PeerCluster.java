package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.membership.GroupLoad;
import org.sequoiaspindle.core.coordination.membership.PeerState;
import org.sequoiaspindle.core.coordination.membership.WatcherRule;
import org.sequoiaspindle.core.protocol.endpoint.CallResult;
import org.sequoiaspindle.core.protocol.endpoint.EndpointCaller;
import org.sequoiaspindle.core.protocol.endpoint.EndpointExchange;
import org.sequoiaspindle.core.protocol.publication.ActiveConfiguration;
import org.sequoiaspindle.core.protocol.publication.ConfigurationHead;
import org.sequoiaspindle.core.protocol.publication.PartSource;

/** Simulated instances on a virtual network. */
final class PeerCluster {

    final VirtualNetwork network = new VirtualNetwork();
    Vector<Instance> instances = Vector.empty();
    Vector<InstanceListEntry> endpoints = Vector.empty();

    /** Starts instances {@code dc0-0, dc0-1, ..} and waits until all instances are linked. */
    static PeerCluster of(int dataCentres, int perDataCentre) {
        PeerCluster cluster = new PeerCluster();
        for (int i = 0; i < dataCentres * perDataCentre; i++) {
            cluster.start("dc" + i / perDataCentre, i % perDataCentre, "secret");
        }
        cluster.network.run(8_000);
        return cluster;
    }

    Instance start(String dataCentre, int number, String secret) {
        Instance instance = new Instance(dataCentre, dataCentre + "-" + number, secret);
        instances = instances.append(instance);
        instance.service.start();
        return instance;
    }

    Instance instance(String name) {
        return instances.find(instance -> instance.name.equals(name)).get();
    }

    Vector<Instance> instancesIn(String dataCentre) {
        return instances.filter(instance -> instance.dataCentre.equals(dataCentre));
    }

    boolean allHaveGeneration(long generation) {
        return instances.forAll(instance -> instance.generation() == generation);
    }

    /** A simulated instance. The name of the instance is also its address. */
    final class Instance {
        final String dataCentre;
        final String name;
        final PeerService service;
        final List<Long> adoptedGenerations = new ArrayList<>();
        final List<LogEvent> log = new ArrayList<>();
        ActiveConfiguration activeConfiguration = ActiveConfiguration.none();
        PeerState state = PeerState.SERVING;
        Map<String, GroupLoad> load = HashMap.empty();
        EndpointCaller localEndpoints =
                (call, sink) ->
                        new EndpointExchange(
                                CompletableFuture.completedFuture(
                                        new CallResult.NotSent("no endpoint")),
                                () -> {});

        private Instance(String dataCentre, String name, String secret) {
            this.dataCentre = dataCentre;
            this.name = name;
            this.service =
                    new PeerService(
                            new PeerSettings(
                                    name,
                                    dataCentre,
                                    name,
                                    network.now() + 1,
                                    PeerSecret.of(secret),
                                    Vector.empty()),
                            new PeerRuntime(
                                    network.transport(name),
                                    network::now,
                                    network::schedule,
                                    bound -> network.random.nextLong(bound),
                                    () -> Long.toHexString(network.random.nextLong()),
                                    (event, fields) -> log.add(event)),
                            new PeerServiceDependencies(
                                    this::fetchInstanceList,
                                    () -> activeConfiguration,
                                    this::onHead,
                                    (call, sink) -> localEndpoints.call(call, sink),
                                    () -> state,
                                    () -> load));
            network.accept(name, service.acceptCallbacks());
        }

        /**
         * Returns the instance list after a delay, so that instances that start together dial each
         * other at the same time.
         */
        private CompletionStage<Either<String, Vector<InstanceListEntry>>> fetchInstanceList() {
            CompletableFuture<Either<String, Vector<InstanceListEntry>>> result =
                    new CompletableFuture<>();
            network.schedule(5, () -> result.complete(Either.right(listEntries())));
            return result;
        }

        private Vector<InstanceListEntry> listEntries() {
            return instances
                    .map(
                            instance ->
                                    new InstanceListEntry(
                                            InstanceListEntry.Kind.ENTRY,
                                            instance.name,
                                            instance.dataCentre,
                                            false))
                    .appendAll(endpoints);
        }

        private void onHead(ConfigurationHead head, PartSource source) {
            Vector<String> missingDigests =
                    head.parts()
                            .map(ConfigurationHead.PartReference::digest)
                            .reject(activeConfiguration.parts()::containsKey);
            source.fetch(missingDigests)
                    .thenAccept(
                            parts ->
                                    parts.forEach(
                                            p ->
                                                    adopt(
                                                            head,
                                                            activeConfiguration.parts().merge(p))));
        }

        /** Adopts a configuration that is newer than the active configuration. */
        void adopt(ConfigurationHead head, Map<String, String> parts) {
            if (head.generation() > generation()) {
                activeConfiguration = new ActiveConfiguration(Option.of(head), parts);
                adoptedGenerations.add(head.generation());
            }
        }

        void publish(long generation, Vector<String> parts) {
            Map<String, String> partsByDigest =
                    parts.toMap(text -> text.substring(0, Math.min(8, text.length())), t -> t);
            Vector<ConfigurationHead.PartReference> references =
                    partsByDigest
                            .keySet()
                            .toVector()
                            .map(
                                    digest ->
                                            new ConfigurationHead.PartReference(
                                                    "stages", 0, digest));
            adopt(
                    new ConfigurationHead(generation, "s", "o", 0, Vector.empty(), references),
                    partsByDigest);
            service.announce(activeConfiguration);
        }

        long generation() {
            return activeConfiguration.head().map(ConfigurationHead::generation).getOrElse(0L);
        }

        boolean isWatcher() {
            return WatcherRule.isWatcher(service.membership().table());
        }
    }
}
