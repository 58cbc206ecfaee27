package org.sequoiaspindle.core.coordination.membership;

import io.vavr.control.Option;

/**
 * Address at which an entry instance is expected.
 *
 * @param address peer address, {@code ip:port}
 * @param dataCentre data centre of the instance; none for an address from the setting {@code peers}
 *     that has not been reached yet
 */
public record PeerAddress(String address, Option<String> dataCentre) {}
