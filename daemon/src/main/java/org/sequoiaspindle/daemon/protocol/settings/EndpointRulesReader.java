package org.sequoiaspindle.daemon.protocol.settings;

import java.util.Optional;
import org.sequoiaspindle.daemon.state.ForwardingSettings;

/** Reads the rules that a deployment sets on sending requests to replicas. */
final class EndpointRulesReader {

    private static final double MAX_DURATION_MS = 3_600_000;
    private static final double MAX_COLD_FACTOR = 1_000;
    private static final double MAX_COLD_SLACK = 1e6;

    private EndpointRulesReader() {}

    static ForwardingSettings.EndpointRules read(SettingsFields root) {
        return new ForwardingSettings.EndpointRules(
                evacuationLimitMillis(root), coldRate(root), root.flag("pace", false));
    }

    private static long evacuationLimitMillis(SettingsFields root) {
        if (!root.has("evacuation")) {
            return 0;
        }
        SettingsFields fields = root.object("evacuation");
        long limit = (long) fields.decimal("limitMs", 1, MAX_DURATION_MS);
        fields.rejectUnknownFields();
        return limit;
    }

    private static Optional<ForwardingSettings.ColdRate> coldRate(SettingsFields root) {
        if (!root.has("coldEndpoints")) {
            return Optional.empty();
        }
        SettingsFields fields = root.object("coldEndpoints");
        ForwardingSettings.ColdRate rate =
                new ForwardingSettings.ColdRate(
                        fields.decimal("over", 0, MAX_COLD_FACTOR),
                        fields.decimal("slack", 0, MAX_COLD_SLACK));
        fields.rejectUnknownFields();
        return Optional.of(rate);
    }
}
