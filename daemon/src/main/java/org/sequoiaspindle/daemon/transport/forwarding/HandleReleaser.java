package org.sequoiaspindle.daemon.transport.forwarding;

import java.util.List;

/** Releases stage results that are not needed any more. Thread-safe; does not block. */
@FunctionalInterface
interface HandleReleaser {

    void release(List<String> handles);
}
