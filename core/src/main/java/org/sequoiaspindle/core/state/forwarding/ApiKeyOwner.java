package org.sequoiaspindle.core.state.forwarding;

import java.util.OptionalInt;

/**
 * The organisation that owns an API key.
 *
 * @param organisation name of the organisation
 * @param priority priority that overrides that of the route, if present; 0 is the highest
 */
public record ApiKeyOwner(String organisation, OptionalInt priority) {}
