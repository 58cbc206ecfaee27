package org.sequoiaspindle.daemon.transport.forwarding.process;

import org.sequoiaspindle.core.coordination.forwarding.replica.EvacuationRule;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendRule;
import org.sequoiaspindle.core.protocol.forwarding.Registry;
import org.sequoiaspindle.daemon.state.ForwardingSettings;
import org.sequoiaspindle.daemon.transport.telemetry.ForwardingMetrics;

/** Combines the rules on sending requests to replicas that the settings call for. */
final class SendRules {

    private SendRules() {}

    static SendRule of(ForwardingSettings settings, Registry registry, ForwardingMetrics metrics) {
        SendRule rule = SendRule.UNRESTRICTED;
        if (settings.endpointRules().evacuatesDataCentres()) {
            metrics.reportEvacuations(registry::evacuatedSince);
            rule = rule.and(new EvacuationRule(registry::evacuations));
        }
        return rule;
    }
}
