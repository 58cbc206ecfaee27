package org.sequoiaspindle.cli.protocol;

import io.vavr.collection.Vector;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.sequoiaspindle.cli.state.Credential;

/**
 * Addresses of the instances that a command may send requests to, and the credential to use.
 *
 * @param instances addresses in the order in which they are tried, at least one
 * @param credential credential sent with every request
 * @param client sends the requests
 */
public record InstanceSession(
        Vector<String> instances, Credential credential, InstanceClient client) {

    /**
     * Returns a session with a rotated list of instances.
     *
     * @param index index of the instance that comes first, modulo the number of instances
     */
    public InstanceSession startingAt(int index) {
        int first = index % instances.size();
        return new InstanceSession(
                instances.drop(first).appendAll(instances.take(first)), credential, client);
    }

    /** Sends a request to the first instance that accepts a connection. */
    public InstanceCallResult send(InstanceRequest request, Consumer<byte[]> eventBytes) {
        return callUntil(
                request,
                eventBytes,
                result -> !(result instanceof InstanceCallResult.NotConnected));
    }

    /**
     * Sends a GET request to each instance in turn until one responds. Repeating a GET request is
     * safe.
     */
    public InstanceCallResult read(String path) {
        return callUntil(
                InstanceRequest.get(path, credential),
                bytes -> {},
                result -> result instanceof InstanceCallResult.CompleteResponse);
    }

    private InstanceCallResult callUntil(
            InstanceRequest request,
            Consumer<byte[]> eventBytes,
            Predicate<InstanceCallResult> isFinal) {
        // The iterator is lazy: the next instance is called only if the previous result is not
        // final.
        var results =
                instances.iterator().map(instance -> client.call(instance, request, eventBytes));
        InstanceCallResult result = results.next();
        while (!isFinal.test(result) && results.hasNext()) {
            result = results.next();
        }
        return result;
    }
}
