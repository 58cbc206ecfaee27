package org.sequoiaspindle.bench.state;

import io.vavr.collection.Map;

/**
 * Metrics of one run by name.
 *
 * @param variant policy that the run used
 * @param round number of the repetition, counted from 1
 */
public record RunResult(String scenario, String variant, int round, Map<String, Double> metrics) {}
