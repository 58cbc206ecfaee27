package org.sequoiaspindle.daemon.transport.wiring;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.MillisClock;
import org.sequoiaspindle.core.coordination.configuration.ConfigurationChecker;
import org.sequoiaspindle.core.protocol.json.ObjectSetReader;
import org.sequoiaspindle.core.protocol.json.ObjectSetWriter;
import org.sequoiaspindle.core.protocol.publication.ConfigurationFollower;
import org.sequoiaspindle.core.protocol.publication.HeldConfiguration;
import org.sequoiaspindle.core.protocol.publication.ObjectSetFunctions;
import org.sequoiaspindle.core.protocol.publication.Publisher;
import org.sequoiaspindle.core.protocol.publication.StorePublisher;
import org.sequoiaspindle.core.protocol.store.Store;

/**
 * Reads and publishes configurations.
 *
 * @param follower adopts what the store and the peers have
 * @param publisher publishes what operators submit
 */
record ConfigurationComponents(ConfigurationFollower follower, Publisher publisher) {

    /**
     * Creates the path; the follower does not watch before it is started.
     *
     * @param watching whether this instance is a watcher of the store
     * @param adopted is told of each configuration that comes into force
     */
    static ConfigurationComponents create(
            SharedComponents shared,
            Store store,
            BooleanSupplier isStoreWatcher,
            Consumer<HeldConfiguration> adopted) {
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
                        adopted,
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
