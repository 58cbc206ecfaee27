package org.sequoiaspindle.core.protocol.publication;

/** Keys of the configuration in the store. */
public final class ConfigurationKeys {
    /** Key of the head. */
    public static final String HEAD = "config/head";

    private static final String PART_PREFIX = "config/part/";

    private ConfigurationKeys() {}

    /** Key of the part with the digest. */
    public static String part(String digest) {
        return PART_PREFIX + digest;
    }
}
