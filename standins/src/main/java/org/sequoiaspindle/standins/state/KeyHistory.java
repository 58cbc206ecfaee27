package org.sequoiaspindle.standins.state;

import java.util.Optional;

/** State of one key: the present value and the one before it; either may be absent. */
public record KeyHistory(Optional<Versioned> current, Optional<Versioned> previous) {

    /** History of a key that was never written. */
    public static KeyHistory none() {
        return new KeyHistory(Optional.empty(), Optional.empty());
    }

    /** Version of the present value, 0 if the key is absent. */
    public long version() {
        return current.map(Versioned::version).orElse(0L);
    }

    public KeyHistory written(Versioned value) {
        return new KeyHistory(Optional.of(value), current);
    }

    public KeyHistory deleted() {
        return new KeyHistory(Optional.empty(), current);
    }
}
