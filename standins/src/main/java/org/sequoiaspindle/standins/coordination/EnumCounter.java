package org.sequoiaspindle.standins.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import org.sequoiaspindle.standins.state.WireName;

/** Counts events by constant of an enum. Thread-safe. */
public final class EnumCounter<E extends Enum<E>> {

    private final E[] kinds;
    private final AtomicLongArray counts;

    public EnumCounter(Class<E> type) {
        kinds = type.getEnumConstants();
        counts = new AtomicLongArray(kinds.length);
    }

    public void add(E kind) {
        add(kind, 1);
    }

    public void add(E kind, long amount) {
        counts.addAndGet(kind.ordinal(), amount);
    }

    public long count(E kind) {
        return counts.get(kind.ordinal());
    }

    /** Returns the counts by wire name, in the order of the constants. */
    public Map<String, Long> countsByWireName() {
        Map<String, Long> result = new LinkedHashMap<>();
        for (E kind : kinds) {
            result.put(WireName.of(kind), count(kind));
        }
        return result;
    }

    public void reset() {
        for (E kind : kinds) {
            counts.set(kind.ordinal(), 0);
        }
    }
}
