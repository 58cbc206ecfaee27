package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;

/**
 * Addresses of endpoints that are about to stop, as reported by the platform's instance list, by
 * responses of the endpoints and by peers. An address counts as leaving while any source reports
 * it; only a newer report from the same source clears the mark. Immutable.
 */
public final class LeavingEndpoints {

    private static final LeavingEndpoints NONE =
            new LeavingEndpoints(Option.none(), HashMap.empty(), HashMap.empty());

    private final Option<LeavingReport> listReport;
    private final Map<String, ResponseFlag> responses;
    private final Map<String, LeavingReport> peerReports;

    private LeavingEndpoints(
            Option<LeavingReport> listReport,
            Map<String, ResponseFlag> responses,
            Map<String, LeavingReport> peerReports) {
        this.listReport = listReport;
        this.responses = responses;
        this.peerReports = peerReports;
    }

    /**
     * Version of a report. Versions are ordered by the incarnation of the reporter and then by a
     * number that increases within the incarnation.
     */
    private record Version(long incarnation, long number) {
        boolean isAfter(Version other) {
            if (incarnation != other.incarnation) {
                return incarnation > other.incarnation;
            }
            return number > other.number;
        }
    }

    private record LeavingReport(Version version, Set<String> leavingAddresses) {}

    private record ResponseFlag(long atMillis, boolean leaving) {}

    public static LeavingEndpoints none() {
        return NONE;
    }

    /**
     * Applies the platform's instance list that was fetched at {@code atMillis}.
     *
     * @param leaving all addresses that the list marks as leaving
     */
    public LeavingEndpoints withInstanceList(Set<String> leaving, long atMillis) {
        LeavingReport report = new LeavingReport(new Version(0, atMillis), leaving);
        boolean isNewer =
                listReport.forAll(
                        previousReport -> report.version().isAfter(previousReport.version()));
        return isNewer ? new LeavingEndpoints(Option.of(report), responses, peerReports) : this;
    }

    /**
     * Removes the addresses from the platform's instance list, on an instance that no longer polls
     * the list. The instance receives the addresses in the heartbeats of the instances that poll
     * the list.
     */
    public LeavingEndpoints withoutInstanceList() {
        return new LeavingEndpoints(Option.none(), responses, peerReports);
    }

    /**
     * Returns the time at which the current copy of the platform's instance list was fetched, or
     * none if there is no copy.
     */
    public Option<Long> listFetchedAtMillis() {
        return listReport.map(report -> report.version().number());
    }

    /**
     * Applies the leaving flag of a response that the endpoint sent and that arrived at {@code
     * atMillis}.
     */
    public LeavingEndpoints withResponse(String address, boolean leaving, long atMillis) {
        Option<ResponseFlag> previousFlag = responses.get(address);
        if (previousFlag.isEmpty() && !leaving) {
            return this;
        }
        if (previousFlag.exists(flag -> flag.atMillis() >= atMillis)) {
            return this;
        }
        return new LeavingEndpoints(
                listReport,
                responses.put(address, new ResponseFlag(atMillis, leaving)),
                peerReports);
    }

    /**
     * Applies the leaving addresses in a heartbeat of a peer.
     *
     * @param leaving all addresses that the peer reports as leaving
     */
    public LeavingEndpoints withPeerReport(PeerReport reporter, Set<String> leaving) {
        LeavingReport report =
                new LeavingReport(
                        new Version(reporter.incarnation(), reporter.sequence()), leaving);
        boolean isNewer =
                peerReports
                        .get(reporter.instance())
                        .forAll(
                                previousReport ->
                                        report.version().isAfter(previousReport.version()));
        return isNewer
                ? new LeavingEndpoints(
                        listReport, responses, peerReports.put(reporter.instance(), report))
                : this;
    }

    /**
     * Removes the reports of all peers except the given instances. A peer that has been removed
     * from the membership sends no newer report that could clear the addresses reported by the
     * peer.
     */
    public LeavingEndpoints retainPeers(Set<String> instances) {
        Map<String, LeavingReport> retainedReports = peerReports.filterKeys(instances::contains);
        return retainedReports.size() == peerReports.size()
                ? this
                : new LeavingEndpoints(listReport, responses, retainedReports);
    }

    public boolean isLeaving(String address) {
        return isReportedByResponse(address)
                || listReport.exists(report -> report.leavingAddresses().contains(address))
                || peerReports
                        .values()
                        .exists(report -> report.leavingAddresses().contains(address));
    }

    /** Returns all addresses that any source reports as leaving. */
    public Set<String> addresses() {
        return peerReports
                .values()
                .foldLeft(
                        locallyLearnedAddresses(),
                        (all, report) -> all.union(report.leavingAddresses()));
    }

    /**
     * Returns the addresses that this instance learned from responses and the list. The instance
     * sends these addresses to its peers. Addresses reported by peers are not included, so that an
     * address is not sent back to the peer that reported it.
     */
    public Set<String> locallyLearnedAddresses() {
        Set<String> markedByResponses =
                HashSet.ofAll(responses.keySet()).filter(this::isReportedByResponse);
        return markedByResponses.union(
                listReport.map(LeavingReport::leavingAddresses).getOrElse(HashSet.empty()));
    }

    private boolean isReportedByResponse(String address) {
        return responses.get(address).exists(ResponseFlag::leaving);
    }
}
