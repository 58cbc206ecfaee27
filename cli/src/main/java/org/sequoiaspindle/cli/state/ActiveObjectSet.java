package org.sequoiaspindle.cli.state;

import org.sequoiaspindle.core.state.ObjectSet;

/** The object set that is active on an instance, with the generation of the configuration. */
public record ActiveObjectSet(long generation, ObjectSet objects) {}
