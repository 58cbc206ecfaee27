package org.sequoiaspindle.standins.protocol;

import java.util.Map;
import org.sequoiaspindle.standins.coordination.ActionScheduler;

/**
 * Sends the response to one HTTP request. Methods called after the end of the response have no
 * effect, except {@link #sendUnrequested}.
 */
public interface HttpResponder {

    /** Sends a complete response. */
    void send(FullResponse response);

    /**
     * Sends the headers with the full content length and half of the body, then closes the
     * connection.
     */
    void sendTruncated(FullResponse response);

    /** Starts a stream of server-sent events with status 200. */
    default void startStream() {
        startStream(Map.of());
    }

    /** Starts a stream of server-sent events with status 200 and additional headers. */
    void startStream(Map<String, String> headers);

    /** Sends one event immediately. */
    void sendEvent(String name, String data);

    /** Ends the stream. */
    void endStream();

    /**
     * Sends a complete response that no request waits for, also after the end of the response. If
     * another response has begun on the connection, it is sent after that one.
     */
    void sendUnrequested(FullResponse response);

    /** Closes the connection immediately. */
    void disconnect();

    /** Sets the action that runs if the connection closes before the response has ended. */
    void onDisconnect(Runnable action);

    /** Returns a scheduler that runs actions on the event loop of the connection. */
    ActionScheduler scheduler();
}
