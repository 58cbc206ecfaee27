package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.coordination.membership.PeerAddress;
import org.sequoiaspindle.core.coordination.membership.WatcherRule;

/** Polls the instance list of the platform while this instance is a watcher. */
final class InstanceListPoller {

    static final long POLL_INTERVAL_MILLIS = 5_000;

    /**
     * Age after which an instance that has stopped polling drops the leaving flags of the list
     * fetched last. After two poll intervals the watchers that replaced this instance have polled
     * the list twice.
     */
    static final long MAX_LIST_AGE_MILLIS = 2 * POLL_INTERVAL_MILLIS;

    private final PeerRuntime runtime;
    private final InstanceList list;
    private final Membership membership;
    private final Consumer<Vector<PeerAddress>> addressListener;
    private final AtomicLong nextPollMillis = new AtomicLong(Long.MIN_VALUE);

    /**
     * @param addressListener receives the listed entry instances after a poll in which they have
     *     changed
     */
    InstanceListPoller(
            PeerRuntime runtime,
            InstanceList list,
            Membership membership,
            Consumer<Vector<PeerAddress>> addressListener) {
        this.runtime = runtime;
        this.list = list;
        this.membership = membership;
        this.addressListener = addressListener;
    }

    void tick(long nowMillis) {
        if (!WatcherRule.isWatcher(membership.table())) {
            dropExpiredFlags(nowMillis);
            return;
        }
        long due = nextPollMillis.get();
        if (nowMillis >= due
                && nextPollMillis.compareAndSet(due, nowMillis + POLL_INTERVAL_MILLIS)) {
            list.fetch().thenAccept(result -> onFetched(result, nowMillis));
        }
    }

    private void dropExpiredFlags(long nowMillis) {
        boolean expired =
                membership
                        .leavingEndpoints()
                        .listFetchedAtMillis()
                        .exists(at -> nowMillis - at > MAX_LIST_AGE_MILLIS);
        if (expired) {
            membership.updateLeaving(leaving -> leaving.withoutInstanceList());
        }
    }

    private void onFetched(Either<String, Vector<InstanceListEntry>> result, long startedAtMillis) {
        result.peek(instances -> applyList(instances, startedAtMillis))
                .peekLeft(
                        reason ->
                                runtime.log()
                                        .record(
                                                LogEvent.PEER_LIST_UNAVAILABLE,
                                                HashMap.of("reason", reason)));
    }

    private void applyList(Vector<InstanceListEntry> instances, long startedAtMillis) {
        membership.updateLeaving(
                leaving ->
                        leaving.withInstanceList(
                                instances
                                        .filter(i -> i.kind() == InstanceListEntry.Kind.ENDPOINT)
                                        .filter(InstanceListEntry::leaving)
                                        .map(InstanceListEntry::address)
                                        .toSet(),
                                startedAtMillis));
        Vector<PeerAddress> addresses =
                instances
                        .filter(i -> i.kind() == InstanceListEntry.Kind.ENTRY)
                        .map(i -> new PeerAddress(i.address(), Option.of(i.dataCentre())));
        boolean unchanged = membership.table().listedAddresses().toSet().equals(addresses.toSet());
        membership.update(table -> table.withListedAddresses(addresses));
        if (!unchanged) {
            addressListener.accept(addresses);
        }
    }
}
