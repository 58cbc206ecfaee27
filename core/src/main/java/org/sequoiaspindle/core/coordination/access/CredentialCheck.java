package org.sequoiaspindle.core.coordination.access;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.Organisation;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;

/** Authenticates organisations and operators against a configuration snapshot. Pure functions. */
public final class CredentialCheck {

    /**
     * Hash that the secret sent with an unknown name is compared with, so that the check takes as
     * long as for a known name.
     */
    private static final String DUMMY_HASH = SecretHash.of("", new byte[16]);

    private CredentialCheck() {}

    /** Returns whether the organisation exists and the secret matches the organisation's hash. */
    public static boolean isOrganisation(Snapshot snapshot, String name, String secret) {
        return matches(secret, snapshot.organisation(name).map(Organisation::secretHash));
    }

    /** Returns whether the operator exists and the secret matches the operator's hash. */
    public static boolean isOperator(Snapshot snapshot, String name, String secret) {
        return matches(secret, snapshot.operator(name).map(Operator::secretHash));
    }

    private static boolean matches(String secret, Option<String> hash) {
        boolean matches = SecretHash.matches(secret, hash.getOrElse(DUMMY_HASH));
        return matches && hash.isDefined();
    }
}
