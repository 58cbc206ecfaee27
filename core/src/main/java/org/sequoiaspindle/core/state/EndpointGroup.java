package org.sequoiaspindle.core.state;

import io.vavr.control.Option;

/**
 * A set of interchangeable endpoints.
 *
 * @param name unique name
 * @param kind what the endpoints of the group are
 * @param overflow group to use when this one has no usable endpoint
 */
public record EndpointGroup(String name, Kind kind, Option<String> overflow)
        implements NamedObject {

    /** What the endpoints of a group are. */
    public enum Kind {
        ENGINE,
        POOL,
        SERVICE
    }
}
