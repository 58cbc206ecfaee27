package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sequoiaspindle.standins.protocol.FullRequest;
import org.sequoiaspindle.standins.protocol.FullResponse;
import org.sequoiaspindle.standins.protocol.HttpHandler;
import org.sequoiaspindle.standins.protocol.HttpResponder;
import org.sequoiaspindle.standins.protocol.Router;
import org.sequoiaspindle.standins.protocol.StandinJson;

/**
 * Serves admin commands to a link over HTTP. The response to a command is sent when the command has
 * been applied to all connections.
 */
final class LinkAdminApi {

    private LinkAdminApi() {}

    static HttpHandler handler(LinkProxy link) {
        Map<String, Supplier<CompletableFuture<Void>>> commands =
                Map.of(
                        "silenceExisting", link::silenceExisting,
                        "silenceAll", link::silenceAll,
                        "cutAll", link::cutAll,
                        "heal", link::heal);
        return new Router(
                List.of(
                        Router.exact(
                                "POST",
                                "/admin/link",
                                (request, responder) ->
                                        handleCommand(commands, request, responder)),
                        Router.immediate(
                                "GET",
                                "/admin/connections",
                                request -> FullResponse.json(200, link.connectionCounts()))));
    }

    private static void handleCommand(
            Map<String, Supplier<CompletableFuture<Void>>> commands,
            FullRequest request,
            HttpResponder responder) {
        String mode = StandinJson.parse(request.body().toUtf8String()).path("mode").asText();
        if (!commands.containsKey(mode)) {
            throw new IllegalArgumentException("mode must be one of " + commands.keySet());
        }
        commands.get(mode)
                .get()
                .whenComplete((ignored, failure) -> responder.send(FullResponse.empty(204)));
    }
}
