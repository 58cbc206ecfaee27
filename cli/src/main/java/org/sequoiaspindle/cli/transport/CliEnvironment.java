package org.sequoiaspindle.cli.transport;

import io.vavr.control.Option;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.UUID;
import java.util.function.IntFunction;
import java.util.function.Supplier;
import java.util.function.UnaryOperator;
import org.sequoiaspindle.cli.protocol.InstanceClient;

/**
 * Dependencies of commands on the process and the network, replaceable in tests.
 *
 * @param out standard output
 * @param err standard error
 * @param environmentVariables returns the value of an environment variable, null if it is not set
 * @param secretReader reads a secret from a prompt or standard input
 * @param saltGenerator generates 16-byte salts
 * @param submissionIdGenerator generates unique submission ids
 * @param clientFactory creates an HTTP client for instances with a read timeout in milliseconds
 */
record CliEnvironment(
        PrintStream out,
        PrintStream err,
        UnaryOperator<String> environmentVariables,
        Supplier<Option<String>> secretReader,
        Supplier<byte[]> saltGenerator,
        Supplier<String> submissionIdGenerator,
        IntFunction<InstanceClient> clientFactory) {

    private static final int SALT_BYTES = 16;

    /** Creates the environment of the running process. */
    static CliEnvironment ofCurrentProcess() {
        return new CliEnvironment(
                new PrintStream(System.out, true, StandardCharsets.UTF_8),
                new PrintStream(System.err, true, StandardCharsets.UTF_8),
                System::getenv,
                CliEnvironment::readSecret,
                CliEnvironment::randomSalt,
                () -> UUID.randomUUID().toString(),
                HttpInstanceClient::new);
    }

    private static Option<String> readSecret() {
        if (System.console() != null) {
            return Option.of(System.console().readPassword("Secret: ")).map(String::new);
        }
        try {
            BufferedReader input =
                    new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
            return Option.of(input.readLine());
        } catch (IOException e) {
            return Option.none();
        }
    }

    private static byte[] randomSalt() {
        byte[] salt = new byte[SALT_BYTES];
        new SecureRandom().nextBytes(salt);
        return salt;
    }
}
