package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sequoiaspindle.cli.state.Credential;

/**
 * The instances that a command may ask, and as whom.
 *
 * @param instances addresses in the order in which they are tried, at least one
 * @param credential who asks
 * @param caller port to an instance
 */
public record InstanceSession(
        Vector<String> instances, Credential credential, InstanceCaller caller) {

    /** The same session with another order: the instance at the index, modulo, comes first. */
    public InstanceSession startingAt(int index) {
        int first = index % instances.size();
        return new InstanceSession(
                instances.drop(first).appendAll(instances.take(first)), credential, caller);
    }

    /** Sends to the first instance that accepts a connection. */
    public InstanceReply send(InstanceRequest request, Consumer<byte[]> events) {
        return firstOf(request, events, reply -> !(reply instanceof InstanceReply.NotConnected));
    }

    /** Reads from the first instance that answers; reading twice does no harm. */
    public InstanceReply read(String path) {
        return firstOf(
                InstanceRequest.read(path, credential),
                bytes -> {},
                reply -> reply instanceof InstanceReply.Replied);
    }

    private InstanceReply firstOf(
            InstanceRequest request, Consumer<byte[]> events, Predicate<InstanceReply> isFinal) {
        // An iterator is lazy: the next instance is asked only if the reply before is not final.
        var replies = instances.iterator().map(instance -> caller.call(instance, request, events));
        InstanceReply reply = replies.next();
        while (!isFinal.test(reply) && replies.hasNext()) {
            reply = replies.next();
        }
        return reply;
    }
}
