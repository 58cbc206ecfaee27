package org.sequoiaspindle.standins.state;

/** One endpoint of a fleet: its role, its name and its options. */
public record FleetMember(Role role, String name, OptionValues options) {

    /** Kinds of endpoint. */
    public enum Role {
        ENGINE,
        SERVICE
    }
}
