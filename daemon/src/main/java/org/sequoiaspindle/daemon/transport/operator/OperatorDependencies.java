package org.sequoiaspindle.daemon.transport.operator;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.function.Function;
import java.util.function.Supplier;
import org.sequoiaspindle.core.coordination.configuration.ValidationProblem;
import org.sequoiaspindle.core.protocol.peer.InstanceStatus;
import org.sequoiaspindle.core.protocol.publication.Publisher;
import org.sequoiaspindle.core.state.ObjectSet;
import org.sequoiaspindle.core.state.SnapshotHolder;
import org.sequoiaspindle.daemon.state.EntrySettings;

/**
 * Dependencies of {@link OperatorController}. All functions are thread-safe and do not block.
 *
 * @param instance identifier of this instance
 * @param snapshots holds the active configuration
 * @param bootstrap operator who is authenticated while there is no configuration
 * @param parser parses an object set document
 * @param printer formats an object set document
 * @param publisher publishes object sets
 * @param instances status of all known instances of the installation
 */
public record OperatorDependencies(
        String instance,
        SnapshotHolder snapshots,
        Option<EntrySettings.BootstrapOperator> bootstrap,
        Function<String, Either<Vector<ValidationProblem>, ObjectSet>> parser,
        Function<ObjectSet, String> printer,
        Publisher publisher,
        Supplier<Vector<InstanceStatus>> instances) {}
