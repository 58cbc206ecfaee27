package org.sequoiaspindle.core.protocol.forwarding;

import com.dynatrace.hash4j.hashing.Hashing;
import io.vavr.control.Try;
import java.util.Optional;
import java.util.regex.Pattern;
import org.sequoiaspindle.core.coordination.forwarding.replica.CrashEvidence.Crash;
import org.sequoiaspindle.core.protocol.store.StoreChange;
import org.sequoiaspindle.core.protocol.store.StoreValue;

/**
 * Keys under which instances share the evidence of crashes: the prefix, the prompt part and the
 * replica.
 */
final class CrashEvidenceKeys {

    static final String PREFIX = "sequoiaspindle/crashes/";

    /** Limits the length and the characters of a key, since clients choose the parts. */
    private static final Pattern SAFE_NAME = Pattern.compile("[0-9A-Za-z_@.-]{1,64}");

    private CrashEvidenceKeys() {}

    static String key(Crash crash) {
        return key(crash.part(), crash.replica());
    }

    static String key(String part, String replica) {
        return PREFIX + part + "/" + replica;
    }

    /** Returns whether a part can be named in a key; other parts are not tracked. */
    static boolean isTrackable(String part) {
        return SAFE_NAME.matcher(part).matches();
    }

    /** Returns the position of the part, which is the value of an entry. */
    static StoreValue value(Crash crash) {
        return StoreValue.ofString(String.valueOf(crash.position()));
    }

    /** Returns the crash of an entry or of a removed entry, or empty for another format. */
    static Optional<Crash> crash(StoreChange change) {
        String[] names = change.key().substring(PREFIX.length()).split("/");
        return names.length == 2
                ? Optional.of(new Crash(names[0], positionOf(change), names[1]))
                : Optional.empty();
    }

    private static int positionOf(StoreChange change) {
        return change instanceof StoreChange.Written written
                ? Try.of(() -> Integer.parseInt(written.value().text())).getOrElse(0)
                : 0;
    }

    /** Returns the name of a replica in a key. */
    static String safeName(String name) {
        return SAFE_NAME.matcher(name).matches()
                ? name
                : Long.toHexString(Hashing.komihash5_0().hashStream().putString(name).getAsLong());
    }
}
