package org.sequoiaspindle.daemon.protocol.settings;

import io.netty.util.NetUtil;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import io.vavr.control.Try;
import java.net.URI;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.policy.RoutingPolicies;
import org.sequoiaspindle.core.state.SecretHash;
import org.sequoiaspindle.daemon.protocol.SocketAddressParser;
import org.sequoiaspindle.daemon.state.DrainTimeouts;
import org.sequoiaspindle.daemon.state.EndpointTimeouts;
import org.sequoiaspindle.daemon.state.EntrySettings;

/** Reads the settings of an entry instance from JSON with comments and reports every problem. */
public final class EntrySettingsReader {

    /**
     * Shortest secret, in characters. A shorter secret could be guessed offline from one observed
     * handshake proof.
     */
    private static final int MIN_SECRET_LENGTH = 16;

    private static final int MAX_PORT = 65_535;
    private static final long MAX_DURATION_MS = 3_600_000;
    private static final long DEFAULT_DRAIN_GRACE_MS = 5000;
    private static final long DEFAULT_DRAIN_LIMIT_MS = 30_000;
    private static final long DEFAULT_ENDPOINT_FIRST_BYTE_MS = 10_000;
    private static final long DEFAULT_ENDPOINT_IDLE_MS = 5000;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String NAME_EXPECTED =
            "write 1 to 64 letters, digits, dots, hyphens or underscores";
    private static final String ADDRESS_EXPECTED = "write an IP address and a port as \"ip:port\"";

    private EntrySettingsReader() {}

    /**
     * Reads settings.
     *
     * @param readFile reads a file that the settings refer to; returns the content of the file, or
     *     the reason why the file cannot be read
     * @return the settings, or all problems in the order of the lines
     */
    public static Either<Vector<SettingsProblem>, EntrySettings> read(
            String text, Function<String, Either<String, String>> readFile) {
        Either<SettingsProblem, LocatedJson> parsedJson = LocatedJson.parse(text);
        if (parsedJson.isLeft()) {
            return Either.left(Vector.of(parsedJson.getLeft()));
        }
        List<SettingsProblem> problems = new ArrayList<>();
        EntrySettings settings = settings(SettingsFields.of(parsedJson.get(), problems), readFile);
        return problems.isEmpty()
                ? Either.right(settings)
                : Either.left(Vector.ofAll(problems).sortBy(SettingsProblem::line));
    }

    private static EntrySettings settings(
            SettingsFields root, Function<String, Either<String, String>> readFile) {
        EntrySettings settings =
                new EntrySettings(
                        name(root, "instance"),
                        name(root, "dataCentre"),
                        http(root.object("http")),
                        peer(root.object("peer"), readFile),
                        platform(root.object("platform")),
                        policy(root),
                        new DrainTimeouts(
                                millis(root, "drainGraceMs", 0, DEFAULT_DRAIN_GRACE_MS),
                                millis(root, "drainLimitMs", 0, DEFAULT_DRAIN_LIMIT_MS)),
                        new EndpointTimeouts(
                                millis(
                                        root,
                                        "endpointFirstByteMs",
                                        1,
                                        DEFAULT_ENDPOINT_FIRST_BYTE_MS),
                                millis(root, "endpointIdleMs", 1, DEFAULT_ENDPOINT_IDLE_MS)),
                        telemetry(root.object("telemetry")),
                        logLevel(root),
                        bootstrapOperator(root));
        root.rejectUnknownFields();
        return settings;
    }

    private static String name(SettingsFields fields, String name) {
        return fields.requiredString(name, NAME_PATTERN.asMatchPredicate(), NAME_EXPECTED);
    }

    private static long millis(SettingsFields fields, String name, long min, long defaultMillis) {
        return fields.number(name, min, MAX_DURATION_MS, Option.of(defaultMillis));
    }

    private static EntrySettings.HttpListener http(SettingsFields fields) {
        EntrySettings.HttpListener http =
                new EntrySettings.HttpListener(
                        fields.requiredString(
                                "host", EntrySettingsReader::isIp, "write an IP address"),
                        (int) fields.number("port", 0, MAX_PORT, Option.none()));
        fields.rejectUnknownFields();
        return http;
    }

    private static EntrySettings.PeerLink peer(
            SettingsFields fields, Function<String, Either<String, String>> readFile) {
        EntrySettings.PeerLink peer =
                new EntrySettings.PeerLink(
                        fields.requiredString(
                                "host",
                                host -> isIp(host) && !isWildcard(host),
                                "write the IP address at which other instances reach this one"),
                        (int) fields.number("port", 0, MAX_PORT, Option.none()),
                        secret(fields, readFile),
                        fields.stringList(
                                "peers", EntrySettingsReader::isAddress, ADDRESS_EXPECTED));
        fields.rejectUnknownFields();
        return peer;
    }

    private static String secret(
            SettingsFields fields, Function<String, Either<String, String>> readFile) {
        String expectation = "write at least " + MIN_SECRET_LENGTH + " characters";
        Predicate<String> isLongEnough = secret -> secret.length() >= MIN_SECRET_LENGTH;
        Option<String> inlineSecret = fields.optionalString("secret", isLongEnough, expectation);
        Option<String> secretFile =
                fields.optionalString("secretFile", path -> !path.isEmpty(), "write a file name");
        if (fields.has("secret") == fields.has("secretFile")) {
            fields.addProblem("secret", "write either secret or secretFile");
            return "";
        }
        if (secretFile.isEmpty()) {
            return inlineSecret.getOrElse("");
        }
        Either<String, String> content =
                readFile.apply(secretFile.get())
                        .map(String::strip)
                        .filterOrElse(
                                isLongEnough, text -> "the file is too short; " + expectation);
        if (content.isLeft()) {
            fields.addProblem("secretFile", content.getLeft());
        }
        return content.getOrElse("");
    }

    private static EntrySettings.Platform platform(SettingsFields fields) {
        String address =
                fields.requiredString("address", EntrySettingsReader::isAddress, ADDRESS_EXPECTED);
        fields.rejectUnknownFields();
        return new EntrySettings.Platform(address);
    }

    private static String policy(SettingsFields fields) {
        return fields.optionalString(
                        "policy",
                        RoutingPolicies.names()::contains,
                        "write one of " + RoutingPolicies.names().mkString(", "))
                .getOrElse(RoutingPolicies.DEFAULT);
    }

    private static EntrySettings.Telemetry telemetry(SettingsFields fields) {
        EntrySettings.Telemetry telemetry =
                new EntrySettings.Telemetry(
                        fields.optionalString(
                                "otlpEndpoint",
                                EntrySettingsReader::isHttpUrl,
                                "write a URL that starts with http:// or https://"),
                        fields.flag("spanLog", false));
        fields.rejectUnknownFields();
        return telemetry;
    }

    static LogEvent.Level logLevel(SettingsFields fields) {
        Vector<LogEvent.Level> levels = Vector.of(LogEvent.Level.values());
        Function<LogEvent.Level, String> text = level -> level.name().toLowerCase(Locale.ROOT);
        return fields.optionalString(
                        "logLevel",
                        value -> levels.exists(level -> text.apply(level).equals(value)),
                        "write one of " + levels.map(text).mkString(", "))
                .flatMap(value -> levels.find(level -> text.apply(level).equals(value)))
                .getOrElse(LogEvent.Level.INFO);
    }

    private static Option<EntrySettings.BootstrapOperator> bootstrapOperator(SettingsFields root) {
        if (!root.has("bootstrapOperator")) {
            return Option.none();
        }
        SettingsFields fields = root.object("bootstrapOperator");
        EntrySettings.BootstrapOperator operator =
                new EntrySettings.BootstrapOperator(
                        name(fields, "name"),
                        fields.requiredString(
                                "secretHash",
                                SecretHash::isWellFormed,
                                "write sha256:<salt hex>:<digest hex>"));
        fields.rejectUnknownFields();
        return Option.of(operator);
    }

    private static boolean isIp(String text) {
        return NetUtil.isValidIpV4Address(text) || NetUtil.isValidIpV6Address(text);
    }

    private static boolean isWildcard(String ip) {
        return ip.equals("0.0.0.0") || ip.equals("::");
    }

    private static boolean isAddress(String text) {
        return SocketAddressParser.parse(text).isDefined();
    }

    private static boolean isHttpUrl(String text) {
        return Try.of(() -> URI.create(text).toURL().getProtocol())
                .filter(scheme -> scheme.equals("http") || scheme.equals("https"))
                .isSuccess();
    }
}
