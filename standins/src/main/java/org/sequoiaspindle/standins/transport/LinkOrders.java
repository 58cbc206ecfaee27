package org.sequoiaspindle.standins.transport;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import org.sequoiaspindle.standins.protocol.Exchange;
import org.sequoiaspindle.standins.protocol.HttpCall;
import org.sequoiaspindle.standins.protocol.HttpHandler;
import org.sequoiaspindle.standins.protocol.HttpReply;
import org.sequoiaspindle.standins.protocol.Json;
import org.sequoiaspindle.standins.protocol.Routes;

/** Orders to a link over HTTP; each is answered when it is in force. */
final class LinkOrders {

    private LinkOrders() {}

    static HttpHandler handler(LinkProxy link) {
        Map<String, Supplier<CompletableFuture<Void>>> orders =
                Map.of(
                        "silenceExisting", link::silenceExisting,
                        "silenceAll", link::silenceAll,
                        "cutAll", link::cutAll,
                        "heal", link::heal);
        return new Routes(
                List.of(
                        Routes.exact(
                                "POST",
                                "/admin/link",
                                (call, exchange) -> order(orders, call, exchange)),
                        Routes.answering(
                                "GET",
                                "/admin/connections",
                                call -> HttpReply.json(200, link.report()))));
    }

    private static void order(
            Map<String, Supplier<CompletableFuture<Void>>> orders,
            HttpCall call,
            Exchange exchange) {
        String mode = Json.parse(call.body().text()).path("mode").asText();
        if (!orders.containsKey(mode)) {
            throw new IllegalArgumentException("mode must be one of " + orders.keySet());
        }
        orders.get(mode)
                .get()
                .whenComplete((done, failure) -> exchange.answer(HttpReply.empty(204)));
    }
}
