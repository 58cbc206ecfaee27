package org.sequoiaspindle.daemon.transport.operator;

import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/**
 * What the front end for monitoring needs.
 *
 * @param metrics metrics in Prometheus' text format
 * @param ready whether the load balancer may send requests
 */
public record MonitoringDependencies(Supplier<String> metrics, BooleanSupplier ready) {}
