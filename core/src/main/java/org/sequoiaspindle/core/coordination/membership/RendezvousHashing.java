package org.sequoiaspindle.core.coordination.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.collection.Vector;
import java.util.Comparator;
import java.util.function.Function;

/**
 * Ranks candidates by rendezvous hashing. Removing a candidate leaves the order of the others
 * unchanged.
 */
final class RendezvousHashing {

    private RendezvousHashing() {}

    /** Returns the candidates in rank order for the chooser; ties are broken by key. */
    static <T> Vector<T> rank(String chooser, Vector<T> candidates, Function<T, String> key) {
        Comparator<T> byWeight =
                Comparator.comparingLong(candidate -> weight(chooser, key.apply(candidate)));
        return candidates.sorted(byWeight.reversed().thenComparing(key));
    }

    private static long weight(String chooser, String key) {
        return Hashing.komihash5_0().hashStream().putString(chooser).putString(key).getAsLong();
    }
}
