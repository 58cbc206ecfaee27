package org.sequoiaspindle.core.state;

import io.vavr.control.Option;

/**
 * Sends the calls that it matches to an endpoint group. An absent condition matches everything.
 *
 * @param name unique name
 * @param order rules apply in rising order, 0 to 1000000, unique
 * @param organisation organisation that the rule is limited to
 * @param pipeline pipeline that the rule is limited to
 * @param stage stage that the rule is limited to
 * @param endpointGroup group that runs the matched calls
 */
public record RoutingRule(
        String name,
        int order,
        Option<String> organisation,
        Option<String> pipeline,
        Option<String> stage,
        String endpointGroup)
        implements NamedObject {

    /** Whether the rule applies to a call. */
    public boolean matches(String organisationName, String pipelineName, String stageName) {
        return accepts(organisation, organisationName)
                && accepts(pipeline, pipelineName)
                && accepts(stage, stageName);
    }

    /** Whether each call that the other rule matches is matched by this one too. */
    public boolean covers(RoutingRule other) {
        return covers(organisation, other.organisation)
                && covers(pipeline, other.pipeline)
                && covers(stage, other.stage);
    }

    private static boolean accepts(Option<String> condition, String value) {
        return condition.isEmpty() || condition.get().equals(value);
    }

    private static boolean covers(Option<String> mine, Option<String> theirs) {
        return mine.isEmpty() || mine.equals(theirs);
    }
}
