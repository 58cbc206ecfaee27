package org.sequoiaspindle.core.coordination.membership;

import io.vavr.control.Option;

/**
 * An address at which an entry instance should be found.
 *
 * @param address peer address, {@code ip:port}
 * @param dataCentre its data centre, unknown for an address from the setting {@code peers} that has
 *     not been reached yet
 */
public record Contact(String address, Option<String> dataCentre) {}
