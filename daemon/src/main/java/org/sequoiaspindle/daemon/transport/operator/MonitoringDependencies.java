package org.sequoiaspindle.daemon.transport.operator;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * Dependencies of {@link MonitoringController}.
 *
 * @param metrics metrics in the Prometheus text format
 * @param ready whether the load balancer may send requests to this instance
 */
public record MonitoringDependencies(Supplier<String> metrics, BooleanSupplier ready) {}
