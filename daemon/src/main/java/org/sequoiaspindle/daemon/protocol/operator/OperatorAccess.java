package org.sequoiaspindle.daemon.protocol.operator;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.Operator;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.core.state.Snapshot;
import org.sequoiaspindle.daemon.protocol.BearerCredential;
import org.sequoiaspindle.daemon.state.Settings;

/** Decides who is an operator: those of the snapshot in force, before it the bootstrap operator. */
public final class OperatorAccess {

    /** Compared against for an unknown name, so that the time taken does not tell names. */
    private static final String NO_HASH = SecretHash.of("", new byte[] {0});

    private OperatorAccess() {}

    /** Name of the operator whose credential the header holds, none if it is not accepted. */
    public static Option<String> authenticate(
            Option<String> authorization,
            Snapshot snapshot,
            Option<Settings.BootstrapOperator> bootstrap) {
        return authorization
                .flatMap(BearerCredential::parse)
                .filter(
                        credential ->
                                SecretHash.matches(
                                        credential.secret(),
                                        hash(credential.name(), snapshot, bootstrap)))
                .map(BearerCredential::name);
    }

    private static String hash(
            String name, Snapshot snapshot, Option<Settings.BootstrapOperator> bootstrap) {
        Option<String> hash =
                snapshot.isNone()
                        ? bootstrap
                                .filter(operator -> operator.name().equals(name))
                                .map(Settings.BootstrapOperator::secretHash)
                        : snapshot.operator(name).map(Operator::secretHash);
        return hash.getOrElse(NO_HASH);
    }
}
