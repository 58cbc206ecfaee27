package org.sequoiaspindle.bench.protocol;

import java.nio.charset.StandardCharsets;
import org.sequoiaspindle.core.state.SecretHash;

/** Credentials of operators and organisations and the peer secret, for experiments only. */
public final class Credentials {

    public static final String OPERATOR = "bench-operator";
    public static final String PEER_SECRET = "bench-secret-of-all-instances";

    private Credentials() {}

    /** Returns the credential in the format of the {@code Authorization} header. */
    public static String nameAndSecret(String name) {
        return name + ":" + secret(name);
    }

    /** Returns the hash of the secret of an operator or organisation. */
    public static String secretHash(String name) {
        return SecretHash.of(secret(name), name.getBytes(StandardCharsets.UTF_8));
    }

    private static String secret(String name) {
        return "secret-of-" + name;
    }
}
