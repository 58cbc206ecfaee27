package org.sequoiaspindle.bench.transport;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** Subcommand of the load test and experiment tool. */
@FunctionalInterface
interface Subcommand {

    /** Declares the options of the subcommand and returns the action to run. */
    Action declare(OptionParser parser);

    /** Runs the subcommand with parsed options. */
    @FunctionalInterface
    interface Action {

        void run(OptionSet options);
    }
}
