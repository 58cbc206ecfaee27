package org.sequoiaspindle.cli.protocol;

import org.sequoiaspindle.cli.state.CommandResult;

/** A command whose arguments are already bound, ready to run. */
@FunctionalInterface
public interface BoundCommand {

    CommandResult run();
}
