package org.sequoiaspindle.daemon.protocol.operator;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.daemon.protocol.BearerCredential;
import org.sequoiaspindle.daemon.state.EntrySettings;

/**
 * Authenticates the operators of the active configuration, or the bootstrap operator while there is
 * no configuration.
 */
public final class OperatorAuthenticator {

    /**
     * Hash to verify for an unknown name, so that the response time does not reveal which names
     * exist.
     */
    private static final String HASH_FOR_UNKNOWN_NAMES = SecretHash.of("", new byte[] {0});

    private OperatorAuthenticator() {}

    /**
     * Returns the name of the operator whose credential the header contains, or none if the
     * credential is missing, malformed or wrong.
     */
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
                snapshot.isInitial()
                        ? bootstrap
                                .filter(operator -> operator.name().equals(name))
                                .map(EntrySettings.BootstrapOperator::secretHash)
                        : snapshot.operator(name).map(Operator::secretHash);
        return hash.getOrElse(HASH_FOR_UNKNOWN_NAMES);
    }
}
