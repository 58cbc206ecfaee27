package org.sequoiaspindle.standins.protocol;

import java.util.Map;
import org.sequoiaspindle.standins.coordination.ActionScheduler;

/** Sends the answer to one HTTP request. Calls after the end of the answer have no effect. */
public interface HttpResponder {

    /** Sends a complete answer. */
    void answer(HttpReply reply);

    /**
     * Sends the headers with the full content length and half of the body, then closes the
     * connection.
     */
    void answerTruncated(HttpReply reply);

    /** Starts a stream of server-sent events with status 200. */
    default void startStream() {
        startStream(Map.of());
    }

    /** Starts a stream of server-sent events with status 200 and additional headers. */
    void startStream(Map<String, String> headers);

    /** Sends one event and flushes it. */
    void sendEvent(String name, String data);

    /** Ends the stream. */
    void endStream();

    /** Closes the connection immediately. */
    void disconnect();

    /** Sets the action that runs if the connection closes before the answer has ended. */
    void onDisconnect(Runnable action);

    /** Scheduler that runs actions on the event loop of the connection. */
    ActionScheduler scheduler();
}
