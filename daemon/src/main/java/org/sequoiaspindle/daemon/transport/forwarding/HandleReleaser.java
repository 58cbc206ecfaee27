package org.sequoiaspindle.daemon.transport.forwarding;

import java.util.List;

/** Gives up results that nobody needs any more. Thread-safe; does not block. */
@FunctionalInterface
interface HandleReleaser {

    void release(List<String> handles);
}
