package org.sequoiaspindle.core.coordination.configuration;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Format of the addresses of endpoints and instances: an IPv4 address and a port. */
public final class AddressFormat {

    /** Description of the format, for messages. */
    public static final String FORMAT_DESCRIPTION = "<IPv4 address>:<port>, such as 10.0.0.7:8080";

    private static final int MAX_PORT = 65_535;
    private static final String OCTET = "(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])";
    private static final Pattern ADDRESS =
            Pattern.compile("(" + OCTET + "\\.){3}" + OCTET + ":(?<port>[1-9][0-9]{0,4})");

    private AddressFormat() {}

    public static boolean isWellFormed(String address) {
        Matcher matcher = ADDRESS.matcher(address);
        return matcher.matches() && Integer.parseInt(matcher.group("port")) <= MAX_PORT;
    }
}
