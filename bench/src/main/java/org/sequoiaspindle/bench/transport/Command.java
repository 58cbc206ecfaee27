package org.sequoiaspindle.bench.transport;

import joptsimple.OptionParser;
import joptsimple.OptionSet;

/** A sub-command: declares its options and gives what runs with them. */
@FunctionalInterface
interface Command {

    /** Declares the options. */
    Action declare(OptionParser parser);

    /** Runs with parsed options. */
    @FunctionalInterface
    interface Action {

        void run(OptionSet options);
    }
}
