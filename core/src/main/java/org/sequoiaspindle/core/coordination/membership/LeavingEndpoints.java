package org.sequoiaspindle.core.coordination.membership;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.control.Option;

/**
 * Addresses of endpoints that are about to stop, by the source that says so. An address is leaving
 * while any source says so, and a flag is cleared only by a newer report of the same source.
 * Immutable.
 */
public final class LeavingEndpoints {

    private static final LeavingEndpoints NONE =
            new LeavingEndpoints(Option.none(), HashMap.empty(), HashMap.empty());

    private final Option<Report> list;
    private final Map<String, Answer> answers;
    private final Map<String, Report> peers;

    private LeavingEndpoints(
            Option<Report> list, Map<String, Answer> answers, Map<String, Report> peers) {
        this.list = list;
        this.answers = answers;
        this.peers = peers;
    }

    /** Version of a report: incarnation of the reporter, then a number that rises within it. */
    private record Version(long incarnation, long number) {
        boolean isAfter(Version other) {
            if (incarnation != other.incarnation) {
                return incarnation > other.incarnation;
            }
            return number > other.number;
        }
    }

    private record Report(Version version, Set<String> leaving) {}

    private record Answer(long atMillis, boolean leaving) {}

    public static LeavingEndpoints none() {
        return NONE;
    }

    /** Takes the flags of the whole platform list, fetched at the time. */
    public LeavingEndpoints listed(Set<String> leaving, long atMillis) {
        Report report = new Report(new Version(0, atMillis), leaving);
        boolean newer = list.forAll(known -> report.version().isAfter(known.version()));
        return newer ? new LeavingEndpoints(Option.of(report), answers, peers) : this;
    }

    /**
     * Drops the flags of the list on an instance that no longer polls it; the flags of the
     * instances that do arrive with their heartbeats.
     */
    public LeavingEndpoints withoutList() {
        return new LeavingEndpoints(Option.none(), answers, peers);
    }

    /** When the list that is held was fetched. */
    public Option<Long> listedAtMillis() {
        return list.map(report -> report.version().number());
    }

    /** Takes the flag in an answer of the endpoint that arrived at the time. */
    public LeavingEndpoints answered(String address, boolean leaving, long atMillis) {
        Option<Answer> known = answers.get(address);
        if (known.isEmpty() && !leaving) {
            return this;
        }
        if (known.exists(answer -> answer.atMillis() >= atMillis)) {
            return this;
        }
        return new LeavingEndpoints(
                list, answers.put(address, new Answer(atMillis, leaving)), peers);
    }

    /** Takes all flags that a peer passed on with one heartbeat. */
    public LeavingEndpoints heard(PeerReport reporter, Set<String> leaving) {
        Report report =
                new Report(new Version(reporter.incarnation(), reporter.sequence()), leaving);
        boolean newer =
                peers.get(reporter.instance())
                        .forAll(known -> report.version().isAfter(known.version()));
        return newer
                ? new LeavingEndpoints(list, answers, peers.put(reporter.instance(), report))
                : this;
    }

    /** Drops the flags of peers that are forgotten, because no newer report can come from them. */
    public LeavingEndpoints retainPeers(Set<String> instances) {
        Map<String, Report> retained = peers.filterKeys(instances::contains);
        return retained.size() == peers.size()
                ? this
                : new LeavingEndpoints(list, answers, retained);
    }

    public boolean isLeaving(String address) {
        return saidByAnswer(address)
                || list.exists(report -> report.leaving().contains(address))
                || peers.values().exists(report -> report.leaving().contains(address));
    }

    /** Every address that some source marks as leaving. */
    public Set<String> addresses() {
        return peers.values().foldLeft(own(), (all, report) -> all.union(report.leaving()));
    }

    /** Flags that this instance learned by itself and passes on; those of peers are not echoed. */
    public Set<String> own() {
        Set<String> answered = HashSet.ofAll(answers.keySet()).filter(this::saidByAnswer);
        return answered.union(list.map(Report::leaving).getOrElse(HashSet.empty()));
    }

    private boolean saidByAnswer(String address) {
        return answers.get(address).exists(Answer::leaving);
    }
}
