package org.sequoiaspindle.cli.protocol;

import org.sequoiaspindle.cli.state.CommandResult;

/** The work of one command, with its arguments already bound. */
@FunctionalInterface
public interface Command {

    CommandResult run();
}
