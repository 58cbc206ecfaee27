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
final class PeerFleet {

    final VirtualNetwork network = new VirtualNetwork();
    Vector<Node> nodes = Vector.empty();
    Vector<InstanceListEntry> endpoints = Vector.empty();

    /** Starts instances {@code dc0-0, dc0-1, ..} and waits until they are linked. */
    static PeerFleet of(int dataCentres, int perDataCentre) {
        PeerFleet fleet = new PeerFleet();
        for (int i = 0; i < dataCentres * perDataCentre; i++) {
            fleet.start("dc" + i / perDataCentre, i % perDataCentre, "secret");
        }
        fleet.network.run(8_000);
        return fleet;
    }

    Node start(String dataCentre, int number, String secret) {
        Node node = new Node(dataCentre, dataCentre + "-" + number, secret);
        nodes = nodes.append(node);
        node.service.start();
        return node;
    }

    Node node(String name) {
        return nodes.find(node -> node.name.equals(name)).get();
    }

    Vector<Node> nodesIn(String dataCentre) {
        return nodes.filter(node -> node.dataCentre.equals(dataCentre));
    }

    boolean allHaveGeneration(long generation) {
        return nodes.forAll(node -> node.generation() == generation);
    }

    /** One instance; its address is its name. */
    final class Node {
        final String dataCentre;
        final String name;
        final PeerService service;
        final List<Long> adopted = new ArrayList<>();
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

        private Node(String dataCentre, String name, String secret) {
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
                                    this::list,
                                    () -> activeConfiguration,
                                    this::onHead,
                                    (call, sink) -> localEndpoints.call(call, sink),
                                    () -> state,
                                    () -> load));
            network.accept(name, service.accepting());
        }

        /**
         * The list arrives with a delay, so that instances that start together dial each other at
         * the same time.
         */
        private CompletionStage<Either<String, Vector<InstanceListEntry>>> list() {
            CompletableFuture<Either<String, Vector<InstanceListEntry>>> result =
                    new CompletableFuture<>();
            network.schedule(5, () -> result.complete(Either.right(listed())));
            return result;
        }

        private Vector<InstanceListEntry> listed() {
            return nodes.map(
                            node ->
                                    new InstanceListEntry(
                                            InstanceListEntry.Kind.ENTRY,
                                            node.name,
                                            node.dataCentre,
                                            false))
                    .appendAll(endpoints);
        }

        private void onHead(ConfigurationHead head, PartSource source) {
            Vector<String> missing =
                    head.parts()
                            .map(ConfigurationHead.PartReference::digest)
                            .reject(activeConfiguration.parts()::containsKey);
            source.fetch(missing)
                    .thenAccept(
                            parts ->
                                    parts.forEach(
                                            p ->
                                                    adopt(
                                                            head,
                                                            activeConfiguration.parts().merge(p))));
        }

        /** Adopts a configuration unless the current one is at least as new. */
        void adopt(ConfigurationHead head, Map<String, String> parts) {
            if (head.generation() > generation()) {
                activeConfiguration = new ActiveConfiguration(Option.of(head), parts);
                adopted.add(head.generation());
            }
        }

        void publish(long generation, Vector<String> parts) {
            Map<String, String> byDigest =
                    parts.toMap(text -> text.substring(0, Math.min(8, text.length())), t -> t);
            Vector<ConfigurationHead.PartReference> references =
                    byDigest.keySet()
                            .toVector()
                            .map(
                                    digest ->
                                            new ConfigurationHead.PartReference(
                                                    "stages", 0, digest));
            adopt(
                    new ConfigurationHead(generation, "s", "o", 0, Vector.empty(), references),
                    byDigest);
            service.announce(activeConfiguration);
        }

        long generation() {
            return activeConfiguration.head().map(ConfigurationHead::generation).getOrElse(0L);
        }

        boolean watches() {
            return WatcherRule.isWatcher(service.membership().table());
        }
    }
}
