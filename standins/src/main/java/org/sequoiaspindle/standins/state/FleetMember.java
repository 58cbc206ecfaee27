package org.sequoiaspindle.standins.state;

/** One endpoint of a fleet: role, name and options. */
public record FleetMember(Role role, String name, OptionValues options) {

    /** Kinds of endpoint. */
    public enum Role {
        ENGINE,
        SERVICE
    }
}
