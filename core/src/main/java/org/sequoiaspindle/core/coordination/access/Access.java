package org.sequoiaspindle.core.coordination.access;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;

/** Decides who may do what under a snapshot. Pure functions. */
public final class Access {

    /** Compared against for unknown names, so that they take as long as known ones. */
    private static final String NOBODY = SecretHash.of("", new byte[16]);

    private Access() {}

    /** Whether the secret is that of the organisation. */
    public static boolean isOrganisation(Snapshot snapshot, String name, String secret) {
        return matches(secret, snapshot.organisation(name).map(Organisation::secretHash));
    }

    /** Whether the secret is that of the operator. */
    public static boolean isOperator(Snapshot snapshot, String name, String secret) {
        return matches(secret, snapshot.operator(name).map(Operator::secretHash));
    }

    private static boolean matches(String secret, Option<String> hash) {
        boolean matches = SecretHash.matches(secret, hash.getOrElse(NOBODY));
        return matches && hash.isDefined();
    }
}
