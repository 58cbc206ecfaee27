package org.sequoiaspindle.daemon.protocol;

import io.vavr.control.Option;

/**
 * Name and secret from an {@code Authorization: Bearer <name>:<secret>} header.
 *
 * @param name name of an organisation or operator
 * @param secret secret of the organisation or operator, which may contain colons
 */
public record BearerCredential(String name, String secret) {

    private static final String SCHEME = "bearer ";

    /** Parses the value of the header; returns none if it is malformed. */
    public static Option<BearerCredential> parse(String header) {
        if (!header.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Option.none();
        }
        String credential = header.substring(SCHEME.length()).strip();
        int colon = credential.indexOf(':');
        return Option.when(
                colon > 0 && colon < credential.length() - 1,
                () ->
                        new BearerCredential(
                                credential.substring(0, colon), credential.substring(colon + 1)));
    }

    /** Omits the secret. */
    @Override
    public String toString() {
        return "BearerCredential[name=" + name + "]";
    }
}
