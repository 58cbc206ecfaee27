package org.sequoiaspindle.cli.protocol;

import org.sequoiaspindle.cli.state.CommandResult;
import org.sequoiaspindle.cli.state.Report;
import org.sequoiaspindle.core.state.SecretHash;

/** Computes the salted hash of a secret. */
public final class HashSecretCommand {

    private HashSecretCommand() {}

    public static CommandResult run(String secret, byte[] salt) {
        return CommandResult.done(new Report.HashedSecret(SecretHash.of(secret, salt)));
    }
}
