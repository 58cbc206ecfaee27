package org.sequoiaspindle.standins.protocol;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import org.sequoiaspindle.standins.coordination.ActionScheduler;
import org.sequoiaspindle.standins.state.ImmutableBytes;
import org.sequoiaspindle.standins.state.RepeatedAnswers;

/**
 * Responder that sends a complete response a second time after a delay. Responses that are cut off
 * are sent once. Used by one thread at a time.
 */
final class RepeatingResponder implements HttpResponder {

    /** Statuses with which a replica states that it has not executed the request. */
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(409, 429, 503);

    private final HttpResponder responder;
    private final RepeatedAnswers repeats;
    private final long delayMs;
    private final StringBuilder streamBody = new StringBuilder();
    private Map<String, String> streamHeaders = Map.of();

    RepeatingResponder(HttpResponder responder, RepeatedAnswers repeats, long delayMs) {
        this.responder = responder;
        this.repeats = repeats;
        this.delayMs = delayMs;
    }

    @Override
    public void send(FullResponse response) {
        responder.send(response);
        repeat(response);
    }

    private void repeat(FullResponse response) {
        int status = repeats.otherStatus().orElse(response.status());
        FullResponse second = new FullResponse(status, response.headers(), response.body());
        FullResponse stated =
                status != response.status() && NOT_EXECUTED_STATUSES.contains(status)
                        ? second.withHeader(ReplicaFrontEnd.NOT_EXECUTED_HEADER, "1")
                        : second;
        responder.scheduler().schedule(delayMs, () -> responder.sendUnrequested(stated));
    }

    @Override
    public void startStream(Map<String, String> headers) {
        streamHeaders = Map.copyOf(headers);
        responder.startStream(headers);
    }

    @Override
    public void sendEvent(String name, String data) {
        streamBody.append("event: ").append(name).append("\ndata: ").append(data).append("\n\n");
        responder.sendEvent(name, data);
    }

    @Override
    public void endStream() {
        responder.endStream();
        Map<String, String> headers = new HashMap<>(streamHeaders);
        headers.put("Content-Type", "text/event-stream");
        repeat(new FullResponse(200, headers, ImmutableBytes.of(streamBody.toString())));
    }

    @Override
    public void sendTruncated(FullResponse response) {
        responder.sendTruncated(response);
    }

    @Override
    public void sendUnrequested(FullResponse response) {
        responder.sendUnrequested(response);
    }

    @Override
    public void disconnect() {
        responder.disconnect();
    }

    @Override
    public void onDisconnect(Runnable action) {
        responder.onDisconnect(action);
    }

    @Override
    public ActionScheduler scheduler() {
        return responder.scheduler();
    }
}
