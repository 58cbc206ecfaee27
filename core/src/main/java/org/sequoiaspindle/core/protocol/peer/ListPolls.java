package org.sequoiaspindle.core.protocol.peer;

import io.vavr.collection.HashMap;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.sequoiaspindle.core.common.LogEvent;
import org.sequoiaspindle.core.coordination.membership.Contact;
import org.sequoiaspindle.core.coordination.membership.Membership;
import org.sequoiaspindle.core.coordination.membership.WatcherRule;

/** Polls the platform's list while this instance is a watcher. */
final class ListPolls {

    static final long INTERVAL_MILLIS = 5_000;

    /**
     * Age at which an instance that polls no longer drops the flags of its last list. Its
     * successors have polled twice by then.
     */
    static final long DROP_MILLIS = 2 * INTERVAL_MILLIS;

    private final PeerRuntime runtime;
    private final InstanceList list;
    private final Membership membership;
    private final Consumer<Vector<Contact>> changed;
    private final AtomicLong nextPollMillis = new AtomicLong(Long.MIN_VALUE);

    /**
     * @param changed told of the entry instances when a poll shows other ones than before
     */
    ListPolls(
            PeerRuntime runtime,
            InstanceList list,
            Membership membership,
            Consumer<Vector<Contact>> changed) {
        this.runtime = runtime;
        this.list = list;
        this.membership = membership;
        this.changed = changed;
    }

    void tick(long nowMillis) {
        if (!WatcherRule.watches(membership.table())) {
            dropOldFlags(nowMillis);
            return;
        }
        long due = nextPollMillis.get();
        if (nowMillis >= due && nextPollMillis.compareAndSet(due, nowMillis + INTERVAL_MILLIS)) {
            list.fetch().thenAccept(result -> fetched(result, nowMillis));
        }
    }

    private void dropOldFlags(long nowMillis) {
        boolean old =
                membership.leaving().listedAtMillis().exists(at -> nowMillis - at > DROP_MILLIS);
        if (old) {
            membership.updateLeaving(leaving -> leaving.withoutList());
        }
    }

    private void fetched(Either<String, Vector<ListedInstance>> result, long startedAtMillis) {
        result.peek(instances -> take(instances, startedAtMillis))
                .peekLeft(
                        reason ->
                                runtime.log()
                                        .record(
                                                LogEvent.PEER_LIST_UNAVAILABLE,
                                                HashMap.of("reason", reason)));
    }

    private void take(Vector<ListedInstance> instances, long startedAtMillis) {
        membership.updateLeaving(
                leaving ->
                        leaving.listed(
                                instances
                                        .filter(i -> i.kind() == ListedInstance.Kind.ENDPOINT)
                                        .filter(ListedInstance::leaving)
                                        .map(ListedInstance::address)
                                        .toSet(),
                                startedAtMillis));
        Vector<Contact> contacts =
                instances
                        .filter(i -> i.kind() == ListedInstance.Kind.ENTRY)
                        .map(i -> new Contact(i.address(), Option.of(i.dataCentre())));
        boolean same = membership.table().listedContacts().toSet().equals(contacts.toSet());
        membership.update(table -> table.listed(contacts));
        if (!same) {
            changed.accept(contacts);
        }
    }
}
