package org.sequoiaspindle.core.state.forwarding;

import java.util.OptionalInt;

/**
 * The organisation that holds an API key.
 *
 * @param organisation name of the organisation
 * @param priority takes precedence over the priority of the route, 0 is the most urgent
 */
public record ApiKeyOwner(String organisation, OptionalInt priority) {}
