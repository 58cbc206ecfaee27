package org.sequoiaspindle.daemon.transport.operator;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.configuration.Problem;
import org.sequoiaspindle.core.protocol.peer.InstanceStatus;
import org.sequoiaspindle.core.protocol.publication.Publisher;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.SnapshotHolder;
import org.sequoiaspindle.daemon.state.EntrySettings;

/**
 * What the front end for operators needs. All functions are thread-safe and do not block.
 *
 * @param instance identifier of this instance
 * @param snapshots the configuration in force
 * @param bootstrap operator who is accepted before there is a configuration
 * @param parser reads an object set document
 * @param printer writes an object set document
 * @param publisher publishes object sets
 * @param instances what is known of the installation's instances
 */
public record OperatorDependencies(
        String instance,
        SnapshotHolder snapshots,
        Option<EntrySettings.BootstrapOperator> bootstrap,
        Function<String, Either<Vector<Problem>, ObjectSet>> parser,
        Function<ObjectSet, String> printer,
        Publisher publisher,
        Supplier<Vector<InstanceStatus>> instances) {}
