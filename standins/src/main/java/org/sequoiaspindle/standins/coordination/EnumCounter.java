package org.sequoiaspindle.standins.coordination;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import org.sequoiaspindle.standins.state.WireName;

/** Counts events by constant of an enum. Thread-safe. */
public final class EnumCounter<E extends Enum<E>> {

    private final E[] constants;
    private final AtomicLongArray counts;

    public EnumCounter(Class<E> type) {
        constants = type.getEnumConstants();
        counts = new AtomicLongArray(constants.length);
    }

    public void add(E constant) {
        add(constant, 1);
    }

    public void add(E constant, long amount) {
        counts.addAndGet(constant.ordinal(), amount);
    }

    public long count(E constant) {
        return counts.get(constant.ordinal());
    }

    /** Returns the counts by wire name, in the order of the constants. */
    public Map<String, Long> countsByWireName() {
        Map<String, Long> result = new LinkedHashMap<>();
        for (E constant : constants) {
            result.put(WireName.of(constant), count(constant));
        }
        return result;
    }

    public void reset() {
        for (E constant : constants) {
            counts.set(constant.ordinal(), 0);
        }
    }
}
