package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.ToIntFunction;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.cli.protocol.InputFile;
import org.sequoiaspindle.cli.protocol.InstanceSession;
import org.sequoiaspindle.cli.state.Credential;
import org.sequoiaspindle.core.coordination.configuration.AddressFormat;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Options of the commands that send requests to an instance. */
final class ConnectionOptions {

    static final String SECRET_VARIABLE = "SEQUOIASPINDLE_SECRET";

    static final int DEFAULT_TIMEOUT_MS = 10_000;

    /** Characters that an HTTP header carries unchanged, so no spaces and line breaks. */
    private static final Pattern SECRET_PATTERN = Pattern.compile("[\\x21-\\x7e]{1,512}");

    private final OptionSpec<String> instances;
    private final OptionSpec<String> name;
    private final OptionSpec<String> secretFile;
    private final OptionSpec<Integer> timeout;
    private final String nameOption;

    private ConnectionOptions(OptionParser parser, String nameOption) {
        this.nameOption = nameOption;
        this.instances =
                parser.accepts(
                                "instance",
                                "address of an entry instance; may be repeated, the next one is"
                                        + " tried if a connection cannot be established")
                        .withRequiredArg()
                        .describedAs("ip:port");
        this.name =
                parser.accepts(nameOption, "name of the " + nameOption + " that sends the request")
                        .withRequiredArg()
                        .describedAs("name");
        this.secretFile =
                parser.accepts(
                                "secret-file",
                                "file with the secret; without it the environment variable "
                                        + SECRET_VARIABLE
                                        + " is used")
                        .withRequiredArg()
                        .describedAs("file");
        this.timeout =
                parser.accepts(
                                "timeout-ms",
                                "maximum time without data from an instance (default "
                                        + DEFAULT_TIMEOUT_MS
                                        + "; 'request' adds its deadline, or 1 h without one)")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .describedAs("ms");
    }

    static ConnectionOptions forOperator(OptionParser parser) {
        return new ConnectionOptions(parser, "operator");
    }

    static ConnectionOptions forOrganisation(OptionParser parser) {
        return new ConnectionOptions(parser, "organisation");
    }

    /** Returns the secret, or an error message if an HTTP header cannot carry it. */
    static Either<String, String> validateSecret(String secret) {
        return SECRET_PATTERN.matcher(secret).matches()
                ? Either.right(secret)
                : Either.left("the secret must be 1 to 512 printable ASCII characters, no spaces");
    }

    /**
     * Creates a session from the options, or returns an error message if they are invalid.
     *
     * @param defaultTimeoutMs computes the timeout in milliseconds if the option is absent
     */
    Either<String, InstanceSession> createSession(
            OptionSet options,
            CliEnvironment environment,
            ToIntFunction<OptionSet> defaultTimeoutMs) {
        Vector<String> addresses = Vector.ofAll(options.valuesOf(instances));
        int timeoutMs =
                options.has(timeout)
                        ? options.valueOf(timeout)
                        : defaultTimeoutMs.applyAsInt(options);
        if (addresses.isEmpty()) {
            return Either.left("--instance is missing; give the ip:port of an entry instance");
        }
        if (!addresses.forAll(AddressFormat::isWellFormed)) {
            return Either.left("--instance must be " + AddressFormat.FORMAT_DESCRIPTION);
        }
        if (timeoutMs < 1) {
            return Either.left("--timeout-ms must be at least 1");
        }
        return readCredential(options, environment)
                .map(
                        credential ->
                                new InstanceSession(
                                        addresses,
                                        credential,
                                        environment.clientFactory().apply(timeoutMs)));
    }

    private Either<String, Credential> readCredential(
            OptionSet options, CliEnvironment environment) {
        String value = options.valueOf(name);
        if (value == null) {
            return Either.left("--%s is missing; give its name".formatted(nameOption));
        }
        if (!ObjectNames.isWellFormed(value)) {
            return Either.left(
                    "--%s must be %s".formatted(nameOption, ObjectNames.FORMAT_DESCRIPTION));
        }
        return readSecret(options, environment)
                .flatMap(ConnectionOptions::validateSecret)
                .map(secret -> new Credential(value, secret));
    }

    private Either<String, String> readSecret(OptionSet options, CliEnvironment environment) {
        String variable = environment.environmentVariables().apply(SECRET_VARIABLE);
        if (options.has(secretFile)) {
            return InputFile.readText(options.valueOf(secretFile)).map(String::stripTrailing);
        }
        return variable == null || variable.isEmpty()
                ? Either.left(
                        "no secret; set the environment variable %s or give --secret-file"
                                .formatted(SECRET_VARIABLE))
                : Either.right(variable);
    }
}
