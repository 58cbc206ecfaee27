package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.RoutingRule;

/** The match conditions of a routing rule. */
record RuleConditions(Option<String> organisation, Option<String> pipeline, Option<String> stage) {

    static RuleConditions of(RoutingRule rule) {
        return new RuleConditions(rule.organisation(), rule.pipeline(), rule.stage());
    }
}
