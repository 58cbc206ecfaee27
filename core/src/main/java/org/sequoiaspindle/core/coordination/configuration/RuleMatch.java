package org.sequoiaspindle.core.coordination.configuration;

import io.vavr.control.Option;
import org.sequoiaspindle.core.state.RoutingRule;

/** The conditions of a routing rule, without its name, order and group. */
record RuleMatch(Option<String> organisation, Option<String> pipeline, Option<String> stage) {

    static RuleMatch of(RoutingRule rule) {
        return new RuleMatch(rule.organisation(), rule.pipeline(), rule.stage());
    }
}
