package org.sequoiaspindle.cli.state;

import org.sequoiaspindle.core.state.ObjectSet;

/** The object set that an instance currently uses, and its generation. */
public record ConfigurationInForce(long generation, ObjectSet objects) {}
