package org.sequoiaspindle.bench.protocol;

import java.nio.charset.StandardCharsets;
import org.sequoiaspindle.core.state.SecretHash;

/** Credentials of the experiments; none is used outside of them. */
public final class Credentials {

    public static final String OPERATOR = "bench-operator";
    public static final String PEER_SECRET = "bench-secret-of-all-instances";

    private Credentials() {}

    /** Name and secret as the header carries them. */
    public static String of(String name) {
        return name + ":" + secret(name);
    }

    /** Hash of the secret of a name. */
    public static String hash(String name) {
        return SecretHash.of(secret(name), name.getBytes(StandardCharsets.UTF_8));
    }

    private static String secret(String name) {
        return "secret-of-" + name;
    }
}
