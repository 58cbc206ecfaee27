package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.ObjectSet;

/** A check of an object set for one kind of problem. */
@FunctionalInterface
interface ConfigurationCheck {

    /** Returns the problems found, in any order. */
    Vector<ValidationProblem> check(ObjectSet set);
}
