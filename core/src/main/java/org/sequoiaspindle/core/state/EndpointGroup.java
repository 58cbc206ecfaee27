package org.sequoiaspindle.core.state;

import io.vavr.control.Option;

/**
 * A set of interchangeable endpoints.
 *
 * @param name unique name
 * @param kind kind of the endpoints of the group
 * @param overflow group to use when this group has no usable endpoint
 */
public record EndpointGroup(String name, Kind kind, Option<String> overflow)
        implements NamedObject {

    /** Kind of the endpoints of a group. */
    public enum Kind {
        ENGINE,
        POOL,
        SERVICE
    }
}
