package org.sequoiaspindle.core.common;

import java.util.ArrayDeque;
import java.util.Deque;

/** Closes registered resources in reverse order of registration. Thread-safe. */
public final class Closer implements AutoCloseable {

    private final Deque<AutoCloseable> resources = new ArrayDeque<>();

    /** Registers a resource and returns it. */
    public synchronized <T extends AutoCloseable> T register(T resource) {
        resources.push(resource);
        return resource;
    }

    /**
     * Closes every resource, even if closing some of them fails.
     *
     * @throws IllegalStateException if closing a resource failed, with the first failure as cause
     *     and the others suppressed
     */
    @Override
    public synchronized void close() {
        IllegalStateException failure = null;
        while (!resources.isEmpty()) {
            try {
                resources.pop().close();
            } catch (Exception e) {
                if (failure == null) {
                    failure = new IllegalStateException("closing a resource failed", e);
                } else {
                    failure.addSuppressed(e);
                }
            }
        }
        if (failure != null) {
            throw failure;
        }
    }
}
