package org.sequoiaspindle.cli.transport;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.util.function.ToIntFunction;
import java.util.regex.Pattern;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.sequoiaspindle.cli.protocol.InstanceSession;
import org.sequoiaspindle.cli.protocol.SetFile;
import org.sequoiaspindle.cli.state.Credential;
import org.sequoiaspindle.core.coordination.configuration.AddressForm;
import org.sequoiaspindle.core.coordination.configuration.ObjectNames;

/** Options of the commands that ask an instance. */
final class ConnectionOptions {

    static final String SECRET_VARIABLE = "SEQUOIASPINDLE_SECRET";

    static final int DEFAULT_TIMEOUT_MS = 10_000;

    /** What an HTTP header carries unchanged; also excludes line breaks. */
    private static final Pattern SECRET = Pattern.compile("[\\x21-\\x7e]{1,512}");

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
                                        + " tried when one accepts no connection")
                        .withRequiredArg()
                        .describedAs("ip:port");
        this.name =
                parser.accepts(nameOption, "name of the " + nameOption + " that asks")
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
                                "longest silence of an instance in milliseconds (default "
                                        + DEFAULT_TIMEOUT_MS
                                        + ", to which request adds its deadline or else 1 h)")
                        .withRequiredArg()
                        .ofType(Integer.class)
                        .describedAs("ms");
    }

    static ConnectionOptions ofOperator(OptionParser parser) {
        return new ConnectionOptions(parser, "operator");
    }

    static ConnectionOptions ofOrganisation(OptionParser parser) {
        return new ConnectionOptions(parser, "organisation");
    }

    /** A secret that a header can carry, or what is wrong with it. */
    static Either<String, String> usableSecret(String secret) {
        return SECRET.matcher(secret).matches()
                ? Either.right(secret)
                : Either.left("the secret must be 1 to 512 printable ASCII characters, no spaces");
    }

    /**
     * Session that the options describe, or what is wrong with them.
     *
     * @param defaultTimeout limit of silence if the option is absent
     */
    Either<String, InstanceSession> session(
            OptionSet options, Surroundings surroundings, ToIntFunction<OptionSet> defaultTimeout) {
        Vector<String> addresses = Vector.ofAll(options.valuesOf(instances));
        int limit =
                options.has(timeout)
                        ? options.valueOf(timeout)
                        : defaultTimeout.applyAsInt(options);
        if (addresses.isEmpty()) {
            return Either.left("--instance is missing; give the ip:port of an entry instance");
        }
        if (!addresses.forAll(AddressForm::isWellFormed)) {
            return Either.left("--instance must be " + AddressForm.RULE);
        }
        if (limit < 1) {
            return Either.left("--timeout-ms must be at least 1");
        }
        return credential(options, surroundings)
                .map(
                        who ->
                                new InstanceSession(
                                        addresses, who, surroundings.callers().apply(limit)));
    }

    private Either<String, Credential> credential(OptionSet options, Surroundings surroundings) {
        String given = options.valueOf(name);
        if (given == null) {
            return Either.left("--%s is missing; give its name".formatted(nameOption));
        }
        if (!ObjectNames.isWellFormed(given)) {
            return Either.left("--%s must be %s".formatted(nameOption, ObjectNames.RULE));
        }
        return secret(options, surroundings)
                .flatMap(ConnectionOptions::usableSecret)
                .map(secret -> new Credential(given, secret));
    }

    private Either<String, String> secret(OptionSet options, Surroundings surroundings) {
        String variable = surroundings.environment().apply(SECRET_VARIABLE);
        if (options.has(secretFile)) {
            return SetFile.text(options.valueOf(secretFile)).map(String::stripTrailing);
        }
        return variable == null || variable.isEmpty()
                ? Either.left(
                        "no secret; set the environment variable %s or give --secret-file"
                                .formatted(SECRET_VARIABLE))
                : Either.right(variable);
    }
}
