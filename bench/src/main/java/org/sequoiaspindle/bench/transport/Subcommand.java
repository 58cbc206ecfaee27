package org.sequoiaspindle.bench.transport;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A subcommand of the tool. */
@FunctionalInterface
interface Subcommand {

    /** Declares the options and returns the action to run with them. */
    Action declare(OptionParser parser);

    /** Action that runs with parsed options. */
    @FunctionalInterface
    interface Action {

        void run(OptionSet options);
    }
}
