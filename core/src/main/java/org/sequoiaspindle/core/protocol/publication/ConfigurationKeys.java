package org.sequoiaspindle.core.protocol.publication;

/** Keys under which the configuration is stored. */
public final class ConfigurationKeys {
    /** Key of the head. */
    public static final String HEAD = "config/head";

    private static final String PART_PREFIX = "config/part/";

    private ConfigurationKeys() {}

    /** Returns the key of the part with this digest. */
    public static String part(String digest) {
        return PART_PREFIX + digest;
    }
}
