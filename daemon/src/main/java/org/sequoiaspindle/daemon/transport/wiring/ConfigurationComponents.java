package org.sequoiaspindle.daemon.transport.wiring;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationChecker;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.protocol.publication.ActiveConfiguration;
import org.sequoiaspindle.core.protocol.publication.ConfigurationFollower;
import org.sequoiaspindle.core.protocol.publication.ObjectSetFunctions;
import org.sequoiaspindle.core.protocol.publication.Publisher;
import org.sequoiaspindle.core.protocol.publication.StorePublisher;
import org.sequoiaspindle.core.protocol.store.Store;

/**
 * Components that read and publish configurations.
 *
 * @param follower adopts new configurations from the store and from other instances
 * @param publisher publishes the configurations that operators submit
 */
record ConfigurationComponents(ConfigurationFollower follower, Publisher publisher) {

    /**
     * Creates the components. The follower does not read the store before it is started.
     *
     * @param isStoreWatcher whether this instance watches the store for the other instances of the
     *     data centre
     * @param onAdoption called with each configuration that the follower adopts
     */
    static ConfigurationComponents create(
            SharedComponents shared,
            Store store,
            BooleanSupplier isStoreWatcher,
            Consumer<ActiveConfiguration> onAdoption) {
        ObjectSetFunctions functions =
                new ObjectSetFunctions(
                        ObjectSetWriter::write,
                        text -> ObjectSetReader.read(text).mapLeft(Object::toString),
                        ConfigurationChecker::check);
        ConfigurationFollower follower =
                new ConfigurationFollower(
                        store,
                        shared.timer(),
                        shared.clock(),
                        () -> ThreadLocalRandom.current().nextDouble(),
                        isStoreWatcher,
                        functions,
                        shared.snapshots(),
                        onAdoption,
                        shared.events());
        Publisher publisher =
                new StorePublisher(
                        store,
                        shared.timer(),
                        MillisClock.wall(),
                        functions,
                        () -> shared.snapshots().current().generation(),
                        shared.events());
        return new ConfigurationComponents(shared.closer().register(follower), publisher);
    }
}
