package org.sequoiaspindle.daemon.transport.forwarding.shared;

import java.util.List;

/** Releases stage results that are not needed any more. Thread-safe; does not block. */
@FunctionalInterface
public interface HandleReleaser {

    void release(List<String> handles);
}
