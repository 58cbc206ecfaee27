package org.sequoiaspindle.cli.protocol;

import org.sequoiaspindle.cli.state.CommandResult;

/** A command with its arguments, ready to run. */
@FunctionalInterface
public interface BoundCommand {

    CommandResult run();
}
