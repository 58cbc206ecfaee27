package org.sequoiaspindle.core.coordination.access;

import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;

/** Decides who may do what under a snapshot. Pure functions. */
public final class Access {

    /** Compared against for unknown names, so that they take as long as known ones. */
    private static final String NOBODY = SecretHash.of("", new byte[16]);

    private Access() {}

    /** Whether the secret is that of the organisation. */
    public static boolean isOrganisation(Snapshot snapshot, String name, String secret) {
        boolean matches =
                SecretHash.matches(
                        secret,
                        snapshot.organisation(name)
                                .map(organisation -> organisation.secretHash())
                                .getOrElse(NOBODY));
        return matches && snapshot.organisation(name).isDefined();
    }

    /** Whether the secret is that of the operator. */
    public static boolean isOperator(Snapshot snapshot, String name, String secret) {
        boolean matches =
                SecretHash.matches(
                        secret,
                        snapshot.operator(name)
                                .map(operator -> operator.secretHash())
                                .getOrElse(NOBODY));
        return matches && snapshot.operator(name).isDefined();
    }
}
