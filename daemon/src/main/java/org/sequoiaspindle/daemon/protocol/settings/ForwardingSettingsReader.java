package org.sequoiaspindle.daemon.protocol.settings;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Pattern;
import org.sequoiaspindle.core.state.forwarding.HostPort;
import org.sequoiaspindle.core.state.forwarding.InstanceEntry;
import org.sequoiaspindle.daemon.protocol.SocketAddressParser;
import org.sequoiaspindle.daemon.state.ForwardingSettings;

/**
 * Reads the settings of a forwarding instance from JSON with comments and reports every problem.
 */
public final class ForwardingSettingsReader {

    private static final long MAX_DURATION_MS = 3_600_000;
    private static final long MAX_EVENT_LOOPS = 64;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final double MAX_DURATION_SECONDS = 3_600;
    private static final double MAX_RETRY_SLACK = 1e9;
    private static final int MAX_PORT = 65_535;
    private static final int MAX_PORT_OFFSET = 1_000;
    private static final double MIN_PROCESSOR = 0.001;
    private static final double MAX_PROCESSOR = 1_024;
    private static final int PERCENT = 100;
    private static final long MAX_PIECES_PER_REQUEST = 100_000;
    private static final double MAX_MEMORY_MB = 1e6;
    private static final double BYTES_PER_MB = 1e6;
    private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String NAME_EXPECTED =
            "write 1 to 64 letters, digits, dots, hyphens or underscores";
    private static final String ADDRESS_EXPECTED = "write an IP address and a port as \"ip:port\"";

    private ForwardingSettingsReader() {}

    /** Returns the settings, or all problems in the order of the lines. */
    public static Either<Vector<SettingsProblem>, ForwardingSettings> read(String text) {
        Either<SettingsProblem, LocatedJson> parsedJson = LocatedJson.parse(text);
        if (parsedJson.isLeft()) {
            return Either.left(Vector.of(parsedJson.getLeft()));
        }
        List<SettingsProblem> problems = new ArrayList<>();
        ForwardingSettings settings = settings(SettingsFields.of(parsedJson.get(), problems));
        return problems.isEmpty()
                ? Either.right(settings)
                : Either.left(Vector.ofAll(problems).sortBy(SettingsProblem::line));
    }

    private static ForwardingSettings settings(SettingsFields root) {
        ForwardingSettings settings =
                new ForwardingSettings(
                        name(root, "instance"),
                        name(root, "dataCentre"),
                        address(root, "callers"),
                        address(root, "readiness"),
                        listener(root.object("metrics")),
                        listener(root.object("peerLink")),
                        listener(root.object("relay")),
                        address(root, "store"),
                        (int) root.number("workers", 1, MAX_EVENT_LOOPS, Option.none()),
                        drainTimeoutMillis(root),
                        maxRevokedKeyMillis(root.object("revocation")),
                        retryLimits(root.object("repeats")),
                        root.number("leaseMs", 1, MAX_DURATION_MS, Option.none()),
                        EntrySettingsReader.logLevel(root),
                        root.has("processor")
                                ? processorPercent(root.object("processor"))
                                : InstanceEntry.DEFAULT_PROCESSOR_PERCENT,
                        (int)
                                root.number(
                                        "maxPiecesPerRequest",
                                        1,
                                        MAX_PIECES_PER_REQUEST,
                                        Option.some(
                                                (long)
                                                        ForwardingSettings
                                                                .DEFAULT_MAX_PIECES_PER_REQUEST)),
                        EndpointRulesReader.read(root),
                        memoryLimits(root));
        root.rejectUnknownFields();
        return settings;
    }

    /**
     * Subtracts a margin from the platform's kill timeout, so that the instance exits before it is
     * killed.
     */
    private static long drainTimeoutMillis(SettingsFields root) {
        double limit =
                root.decimal("killAfterSeconds", 0, MAX_DURATION_SECONDS) * MILLIS_PER_SECOND;
        long margin = root.number("killMarginMs", 0, MAX_DURATION_MS, Option.none());
        return Math.max(0, (long) limit - margin);
    }

    /** Reads how much of a core the process may use, and how fast the core is. */
    private static int processorPercent(SettingsFields fields) {
        double share = fields.decimal("share", MIN_PROCESSOR, MAX_PROCESSOR);
        double speed = fields.decimal("speed", MIN_PROCESSOR, MAX_PROCESSOR);
        fields.rejectUnknownFields();
        return (int) Math.max(1, Math.round(share * speed * PERCENT));
    }

    private static ForwardingSettings.MemoryLimits memoryLimits(SettingsFields root) {
        if (!root.has("memory")) {
            return ForwardingSettings.MemoryLimits.NONE;
        }
        SettingsFields fields = root.object("memory");
        double limit = fields.decimal("limitMB", 1, MAX_MEMORY_MB);
        double reserve = fields.decimal("reserveMB", 0, MAX_MEMORY_MB);
        if (reserve >= limit) {
            fields.addProblem("reserveMB", "write less than limitMB");
        }
        fields.rejectUnknownFields();
        return new ForwardingSettings.MemoryLimits(
                (long) (limit * BYTES_PER_MB), (long) (reserve * BYTES_PER_MB));
    }

    private static long maxRevokedKeyMillis(SettingsFields fields) {
        boolean strict = fields.flag("strict", false);
        long limit = (long) fields.decimal("limitMs", 0, MAX_DURATION_MS);
        fields.rejectUnknownFields();
        return strict ? limit : 0;
    }

    private static ForwardingSettings.RetryLimits retryLimits(SettingsFields fields) {
        ForwardingSettings.RetryLimits limits =
                new ForwardingSettings.RetryLimits(
                        fields.decimal("ratio", 0, 1),
                        (long)
                                (fields.decimal("windowSeconds", 0, MAX_DURATION_SECONDS)
                                        * MILLIS_PER_SECOND),
                        fields.decimal("slack", 0, MAX_RETRY_SLACK));
        fields.rejectUnknownFields();
        return limits;
    }

    /** Reads an address whose port may be given as an offset from the start of a port range. */
    private static HostPort listener(SettingsFields fields) {
        String host =
                fields.requiredString("host", value -> !value.isBlank(), "write an IP address");
        long offset = fields.number("portOffset", 0, MAX_PORT_OFFSET, Option.some(0L));
        long port = fields.number("port", 1, MAX_PORT - offset, Option.none());
        HostPort address = new HostPort(host, (int) (port + offset));
        fields.rejectUnknownFields();
        return address;
    }

    private static String name(SettingsFields fields, String name) {
        return fields.requiredString(name, NAME_PATTERN.asMatchPredicate(), NAME_EXPECTED);
    }

    private static HostPort address(SettingsFields fields, String name) {
        String text =
                fields.requiredString(
                        name,
                        value -> SocketAddressParser.parse(value).isDefined(),
                        ADDRESS_EXPECTED);
        return SocketAddressParser.parse(text)
                .map(address -> new HostPort(address.getHostString(), address.getPort()))
                .getOrElse(new HostPort("", 1));
    }
}
