package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;

/**
 * Addresses of endpoints that are about to stop, as reported by the platform's instance list, by
 * answers of the endpoints and by peers. An address counts as leaving while any source reports it;
 * only a newer report from the same source clears it. Immutable.
 */
public final class LeavingEndpoints {

    private static final LeavingEndpoints NONE =
            new LeavingEndpoints(Option.none(), HashMap.empty(), HashMap.empty());

    private final Option<LeavingReport> list;
    private final Map<String, AnswerFlag> answers;
    private final Map<String, LeavingReport> peers;

    private LeavingEndpoints(
            Option<LeavingReport> list,
            Map<String, AnswerFlag> answers,
            Map<String, LeavingReport> peers) {
        this.list = list;
        this.answers = answers;
        this.peers = peers;
    }

    /**
     * Version of a report: incarnation of the reporter, then a number that increases within the
     * incarnation.
     */
    private record Version(long incarnation, long number) {
        boolean isAfter(Version other) {
            if (incarnation != other.incarnation) {
                return incarnation > other.incarnation;
            }
            return number > other.number;
        }
    }

    private record LeavingReport(Version version, Set<String> leaving) {}

    private record AnswerFlag(long atMillis, boolean leaving) {}

    public static LeavingEndpoints none() {
        return NONE;
    }

    /**
     * Applies the platform's instance list that was fetched at {@code atMillis}.
     *
     * @param leaving all addresses that the list marks as leaving
     */
    public LeavingEndpoints withList(Set<String> leaving, long atMillis) {
        LeavingReport report = new LeavingReport(new Version(0, atMillis), leaving);
        boolean newer = list.forAll(previous -> report.version().isAfter(previous.version()));
        return newer ? new LeavingEndpoints(Option.of(report), answers, peers) : this;
    }

    /**
     * Removes the addresses from the platform's list, on an instance that no longer polls the list.
     * It receives them in the heartbeats of the instances that do.
     */
    public LeavingEndpoints withoutList() {
        return new LeavingEndpoints(Option.none(), answers, peers);
    }

    /**
     * Returns the time at which the current copy of the platform's list was fetched, none without a
     * copy.
     */
    public Option<Long> listFetchedAtMillis() {
        return list.map(report -> report.version().number());
    }

    /**
     * Applies the leaving flag of an answer that the endpoint sent and that arrived at {@code
     * atMillis}.
     */
    public LeavingEndpoints withAnswer(String address, boolean leaving, long atMillis) {
        Option<AnswerFlag> previous = answers.get(address);
        if (previous.isEmpty() && !leaving) {
            return this;
        }
        if (previous.exists(answer -> answer.atMillis() >= atMillis)) {
            return this;
        }
        return new LeavingEndpoints(
                list, answers.put(address, new AnswerFlag(atMillis, leaving)), peers);
    }

    /**
     * Applies a heartbeat of a peer.
     *
     * @param leaving all addresses that the peer reports as leaving
     */
    public LeavingEndpoints withPeerReport(PeerReport reporter, Set<String> leaving) {
        LeavingReport report =
                new LeavingReport(
                        new Version(reporter.incarnation(), reporter.sequence()), leaving);
        boolean newer =
                peers.get(reporter.instance())
                        .forAll(previous -> report.version().isAfter(previous.version()));
        return newer
                ? new LeavingEndpoints(list, answers, peers.put(reporter.instance(), report))
                : this;
    }

    /**
     * Removes the reports of all peers except the given instances. A peer that has been removed
     * from the membership sends no newer report that could clear its addresses.
     */
    public LeavingEndpoints retainPeers(Set<String> instances) {
        Map<String, LeavingReport> retained = peers.filterKeys(instances::contains);
        return retained.size() == peers.size()
                ? this
                : new LeavingEndpoints(list, answers, retained);
    }

    public boolean isLeaving(String address) {
        return isReportedByAnswer(address)
                || list.exists(report -> report.leaving().contains(address))
                || peers.values().exists(report -> report.leaving().contains(address));
    }

    /** Returns all addresses that any source reports as leaving. */
    public Set<String> addresses() {
        return peers.values()
                .foldLeft(learnedLocally(), (all, report) -> all.union(report.leaving()));
    }

    /**
     * Returns the addresses that this instance learned from answers and the list, which it sends to
     * its peers. Addresses reported by peers are not included, so that they are not echoed.
     */
    public Set<String> learnedLocally() {
        Set<String> markedByAnswers =
                HashSet.ofAll(answers.keySet()).filter(this::isReportedByAnswer);
        return markedByAnswers.union(list.map(LeavingReport::leaving).getOrElse(HashSet.empty()));
    }

    private boolean isReportedByAnswer(String address) {
        return answers.get(address).exists(AnswerFlag::leaving);
    }
}
