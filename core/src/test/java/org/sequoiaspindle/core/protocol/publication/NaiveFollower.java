package org.sequoiaspindle.core.protocol.publication;

import io.vavr.collection.Map;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicReference;
import org.sequoiaspindle.core.common.Timer;
import org.sequoiaspindle.core.protocol.publication.FollowerSimulation.SimulatedInstance;
import org.sequoiaspindle.core.protocol.store.Store;
import org.sequoiaspindle.core.protocol.store.StoreCommand;
import org.sequoiaspindle.core.protocol.store.StoreResult;
import org.sequoiaspindle.core.state.ObjectSet;

/**
 * Follower that adopts every head that it receives, even if the generation of the head is lower
 * than the active generation.
 */
final class NaiveFollower implements HeadReceiver {
    private final Store store;
    private final Timer timer;
    private final ObjectSetFunctions functions;
    private final AtomicReference<ActiveConfiguration> activeConfiguration =
            new AtomicReference<>(ActiveConfiguration.none());

    NaiveFollower(Store store, Timer timer, ObjectSetFunctions functions) {
        this.store = store;
        this.timer = timer;
        this.functions = functions;
    }

    SimulatedInstance toSimulatedInstance() {
        return new SimulatedInstance(
                this,
                () ->
                        activeConfiguration
                                .get()
                                .head()
                                .map(ConfigurationHead::generation)
                                .getOrElse(0L),
                this::objects,
                activeConfiguration::get);
    }

    void poll() {
        store.execute(new StoreCommand.Read(ConfigurationKeys.HEAD))
                .thenAccept(
                        result -> {
                            if (result instanceof StoreResult.Found found) {
                                HeadReader.read(found.value().text())
                                        .forEach(
                                                head ->
                                                        offer(
                                                                head,
                                                                new StorePartSource(store, timer)));
                            }
                            timer.schedule(1_000, this::poll);
                        });
    }

    @Override
    public void offer(ConfigurationHead head, PartSource source) {
        source.fetch(head.parts().map(ConfigurationHead.PartReference::digest))
                .thenAccept(fetched -> fetched.forEach(parts -> adopt(head, parts)));
    }

    private void adopt(ConfigurationHead head, Map<String, String> parts) {
        if (parts.size() == head.parts().size()
                && parts.values().forAll(text -> functions.reader().apply(text).isRight())) {
            activeConfiguration.set(new ActiveConfiguration(Option.some(head), parts));
        }
    }

    private ObjectSet objects() {
        return ConfigurationParts.join(
                activeConfiguration
                        .get()
                        .parts()
                        .values()
                        .map(functions.reader())
                        .map(Either::get)
                        .toVector());
    }
}
