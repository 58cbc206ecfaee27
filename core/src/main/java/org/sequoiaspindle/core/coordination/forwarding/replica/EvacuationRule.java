package org.sequoiaspindle.core.coordination.forwarding.replica;

import java.util.function.Supplier;
import org.sequoiaspindle.core.state.forwarding.Evacuations;
import org.sequoiaspindle.core.state.forwarding.Replica;

/**
 * Closes the replicas of evacuated data centres.
 *
 * @param evacuations returns the data centres that are evacuated now
 */
public record EvacuationRule(Supplier<Evacuations> evacuations) implements SendRule {

    @Override
    public SendTerms termsFor(Replica replica, long now) {
        return evacuations.get().isEvacuated(replica.dataCentre())
                ? SendTerms.NOTHING
                : SendTerms.UNRESTRICTED;
    }
}
