package org.sequoiaspindle.bench.state;

import io.vavr.collection.Map;

/**
 * Metrics of one run by name.
 *
 * @param variant policy that ran
 * @param round number of the repeat, from 1
 */
public record RunResult(String scenario, String variant, int round, Map<String, Double> metrics) {}
