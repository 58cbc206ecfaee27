package org.sequoiaspindle.core.state;

import io.vavr.control.Option;

/**
 * Sends matching calls to an endpoint group. An absent condition matches every call.
 *
 * @param name unique name
 * @param order precedence of the rule, 0 to 1000000, unique; the matching rule with the lowest
 *     order applies
 * @param organisation organisation to which the rule is restricted
 * @param pipeline pipeline to which the rule is restricted
 * @param stage stage to which the rule is restricted
 * @param endpointGroup group that executes the matching calls
 */
public record RoutingRule(
        String name,
        int order,
        Option<String> organisation,
        Option<String> pipeline,
        Option<String> stage,
        String endpointGroup)
        implements NamedObject {

    /** Returns whether the rule matches a call. */
    public boolean matches(String organisationName, String pipelineName, String stageName) {
        return isAbsentOrEqual(organisation, organisationName)
                && isAbsentOrEqual(pipeline, pipelineName)
                && isAbsentOrEqual(stage, stageName);
    }

    /** Returns whether this rule matches every call that the other rule matches. */
    public boolean covers(RoutingRule other) {
        return covers(organisation, other.organisation)
                && covers(pipeline, other.pipeline)
                && covers(stage, other.stage);
    }

    private static boolean isAbsentOrEqual(Option<String> condition, String value) {
        return condition.isEmpty() || condition.get().equals(value);
    }

    private static boolean covers(Option<String> condition, Option<String> otherCondition) {
        return condition.isEmpty() || condition.equals(otherCondition);
    }
}
