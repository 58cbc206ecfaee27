package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sequoiaspindle.cli.state.Credential;

/**
 * Instances that a command may send requests to, and the credential to use.
 *
 * @param instances addresses in the order in which they are tried, at least one
 * @param credential credential sent with every request
 * @param client sends the requests
 */
public record InstanceSession(
        Vector<String> instances, Credential credential, InstanceClient client) {

    /** This session with the instances rotated: the one at {@code index}, modulo, comes first. */
    public InstanceSession startingAt(int index) {
        int first = index % instances.size();
        return new InstanceSession(
                instances.drop(first).appendAll(instances.take(first)), credential, client);
    }

    /** Sends to the first instance that accepts a connection. */
    public InstanceReply send(InstanceRequest request, Consumer<byte[]> events) {
        return firstOf(request, events, reply -> !(reply instanceof InstanceReply.NotConnected));
    }

    /** Reads from the first instance that responds; reading is safe to repeat. */
    public InstanceReply read(String path) {
        return firstOf(
                InstanceRequest.read(path, credential),
                bytes -> {},
                reply -> reply instanceof InstanceReply.Replied);
    }

    private InstanceReply firstOf(
            InstanceRequest request, Consumer<byte[]> events, Predicate<InstanceReply> isFinal) {
        // The iterator is lazy: the next instance is called only if the previous reply is not
        // final.
        var replies = instances.iterator().map(instance -> client.call(instance, request, events));
        InstanceReply reply = replies.next();
        while (!isFinal.test(reply) && replies.hasNext()) {
            reply = replies.next();
        }
        return reply;
    }
}
