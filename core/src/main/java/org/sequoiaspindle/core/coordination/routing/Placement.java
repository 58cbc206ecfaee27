package org.sequoiaspindle.core.coordination.routing;

/** What becomes of a ticket. */
public sealed interface Placement {

    /** The call shall be sent to the endpoint; its slot is taken until the call is reported. */
    record Assigned(String endpoint, String address) implements Placement {}

    /** The call shall not be sent. */
    record Refused(RefusalCause cause) implements Placement {}

    /** Why a call shall not be sent. */
    enum RefusalCause {
        /** The group has no usable endpoint. */
        NO_ENDPOINT,
        /** The deadline cannot be met. */
        NO_TIME,
        /** The caller gave up. */
        WITHDRAWN
    }
}
