package org.sequoiaspindle.daemon.transport.forwarding.replica;

import java.util.function.BooleanSupplier;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Replica that was chosen for an attempt.
 *
 * @param maySend returns whether the request may be sent at this moment; called once, directly
 *     before it is sent
 */
public record AttemptTarget(Replica replica, BooleanSupplier maySend) {}
