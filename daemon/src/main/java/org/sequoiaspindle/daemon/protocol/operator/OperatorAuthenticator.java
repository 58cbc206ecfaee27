package org.sequoiaspindle.daemon.protocol.operator;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.daemon.protocol.BearerCredential;
import org.sequoiaspindle.daemon.state.EntrySettings;

/** Decides who is an operator: those of the snapshot in force, before it the bootstrap operator. */
public final class OperatorAuthenticator {

    /** Compared against for an unknown name, so that the time taken does not tell names. */
    private static final String HASH_FOR_UNKNOWN_NAMES = SecretHash.of("", new byte[] {0});

    private OperatorAuthenticator() {}

    /** Name of the operator whose credential the header holds, none if it is not accepted. */
    public static Option<String> authenticate(
            Option<String> authorization,
            Snapshot snapshot,
            Option<EntrySettings.BootstrapOperator> bootstrap) {
        return authorization
                .flatMap(BearerCredential::parse)
                .filter(
                        credential ->
                                SecretHash.matches(
                                        credential.secret(),
                                        secretHash(credential.name(), snapshot, bootstrap)))
                .map(BearerCredential::name);
    }

    private static String secretHash(
            String name, Snapshot snapshot, Option<EntrySettings.BootstrapOperator> bootstrap) {
        Option<String> hash =
                snapshot.isNone()
                        ? bootstrap
                                .filter(operator -> operator.name().equals(name))
                                .map(EntrySettings.BootstrapOperator::secretHash)
                        : snapshot.operator(name).map(Operator::secretHash);
        return hash.getOrElse(HASH_FOR_UNKNOWN_NAMES);
    }
}
