package org.sequoiaspindle.core.coordination.routing;

import io.vavr.collection.TreeSet;
import io.vavr.control.Option;
import org.sequoiaspindle.core.state.SizeClass;

/**
 * Pending calls of one organisation, least slack first, and the position of the organisation in
 * start-time fair queueing.
 *
 * @param organisation name of the organisation
 * @param finishTag virtual finish time of the call placed last for the organisation
 * @param shortCalls pending short calls
 * @param longCalls pending long calls
 */
public record OrganisationQueue(
        String organisation,
        double finishTag,
        TreeSet<PendingCall> shortCalls,
        TreeSet<PendingCall> longCalls) {

    static OrganisationQueue empty(String organisation) {
        return new OrganisationQueue(
                organisation,
                0,
                TreeSet.empty(PendingCall.BY_SLACK),
                TreeSet.empty(PendingCall.BY_SLACK));
    }

    /** Returns the pending calls of a size class. */
    public TreeSet<PendingCall> pendingCalls(SizeClass sizeClass) {
        return sizeClass == SizeClass.SHORT ? shortCalls : longCalls;
    }

    /** Returns the pending call with the least slack in a size class. */
    public Option<PendingCall> head(SizeClass sizeClass) {
        return pendingCalls(sizeClass).headOption();
    }

    public boolean isEmpty() {
        return shortCalls.isEmpty() && longCalls.isEmpty();
    }

    OrganisationQueue add(PendingCall pendingCall) {
        return with(
                pendingCall.profile().sizeClass(),
                pendingCalls(pendingCall.profile().sizeClass()).add(pendingCall));
    }

    OrganisationQueue remove(PendingCall pendingCall) {
        SizeClass sizeClass = pendingCall.profile().sizeClass();
        return with(sizeClass, pendingCalls(sizeClass).remove(pendingCall));
    }

    OrganisationQueue withFinishTag(double tag) {
        return new OrganisationQueue(organisation, tag, shortCalls, longCalls);
    }

    private OrganisationQueue with(SizeClass sizeClass, TreeSet<PendingCall> pendingCalls) {
        return sizeClass == SizeClass.SHORT
                ? new OrganisationQueue(organisation, finishTag, pendingCalls, longCalls)
                : new OrganisationQueue(organisation, finishTag, shortCalls, pendingCalls);
    }
}
