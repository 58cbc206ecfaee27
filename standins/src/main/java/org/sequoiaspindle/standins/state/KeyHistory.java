package org.sequoiaspindle.standins.state;

import java.util.Optional;

/** Current value and previous value of one key; both may be absent. */
public record KeyHistory(Optional<VersionedValue> current, Optional<VersionedValue> previous) {

    /** Returns the history of a key that was never written. */
    public static KeyHistory none() {
        return new KeyHistory(Optional.empty(), Optional.empty());
    }

    /** Returns the version of the current value, or 0 if the key is absent. */
    public long version() {
        return current.map(VersionedValue::version).orElse(0L);
    }

    public KeyHistory withValue(VersionedValue value) {
        return new KeyHistory(Optional.of(value), current);
    }

    public KeyHistory withoutValue() {
        return new KeyHistory(Optional.empty(), current);
    }
}
