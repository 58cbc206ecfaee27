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
import org.sequoiaspindle.cli.protocol.InstanceCaller;

/**
 * What a command meets outside itself.
 *
 * @param out standard output
 * @param err standard error
 * @param environment value of an environment variable, null if it is not set
 * @param secretInput reads a secret from a prompt or standard input
 * @param salts makes salts of 16 bytes
 * @param submissionIds makes unique submission ids
 * @param callers makes a caller of instances with a limit of silence in milliseconds
 */
record Surroundings(
        PrintStream out,
        PrintStream err,
        UnaryOperator<String> environment,
        Supplier<Option<String>> secretInput,
        Supplier<byte[]> salts,
        Supplier<String> submissionIds,
        IntFunction<InstanceCaller> callers) {

    private static final int SALT_BYTES = 16;

    /** Surroundings of the running process. */
    static Surroundings ofProcess() {
        return new Surroundings(
                new PrintStream(System.out, true, StandardCharsets.UTF_8),
                new PrintStream(System.err, true, StandardCharsets.UTF_8),
                System::getenv,
                Surroundings::askForSecret,
                Surroundings::randomSalt,
                () -> UUID.randomUUID().toString(),
                HttpInstanceCaller::new);
    }

    private static Option<String> askForSecret() {
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
