package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.collection.Vector;
import org.sequoiaspindle.core.state.ObjectSet;

/** One kind of check of an object set. */
@FunctionalInterface
interface ConfigurationCheck {

    /** Problems that this check finds, in any order. */
    Vector<Problem> check(ObjectSet set);
}
