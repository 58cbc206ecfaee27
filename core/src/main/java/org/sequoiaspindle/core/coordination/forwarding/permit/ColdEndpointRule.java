package org.sequoiaspindle.core.coordination.forwarding.permit;

import java.util.function.Function;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendRule;
import org.sequoiaspindle.core.coordination.forwarding.replica.SendTerms;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Requires a permit for each request to a cold replica.
 *
 * @param coldUntil returns the time until which a replica counts as cold
 */
public record ColdEndpointRule(Function<Replica, Long> coldUntil) implements SendRule {

    private static final SendTerms COLD = new SendTerms(SendTerms.Verdict.PERMIT_NEEDED, 1);

    @Override
    public SendTerms termsFor(Replica replica, long now) {
        return now < coldUntil.apply(replica) ? COLD : SendTerms.UNRESTRICTED;
    }
}
