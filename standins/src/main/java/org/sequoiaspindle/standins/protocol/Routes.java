package org.sequoiaspindle.standins.protocol;

import java.util.List;
import java.util.function.Function;

/** Selects the handler of a request by method and path; unknown paths are answered with 404. */
public final class Routes implements HttpHandler {

    /**
     * Handler of one method and path.
     *
     * @param wholePath whether the path has to match as a whole, not only its beginning
     */
    public record Route(String method, String path, boolean wholePath, HttpHandler handler) {

        private boolean matches(HttpCall call) {
            return call.method().equals(method)
                    && (wholePath ? call.path().equals(path) : call.path().startsWith(path));
        }
    }

    /** Serves the part of the path after the route's beginning. */
    @FunctionalInterface
    public interface RestHandler {

        void handle(String rest, HttpCall call, Exchange exchange);
    }

    private final List<Route> routes;

    public Routes(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    public static Route exact(String method, String path, HttpHandler handler) {
        return new Route(method, path, true, handler);
    }

    /** A route that answers at once. */
    public static Route answering(
            String method, String path, Function<HttpCall, HttpReply> answer) {
        return exact(method, path, (call, exchange) -> exchange.answer(answer.apply(call)));
    }

    public static Route below(String method, String path, RestHandler handler) {
        return new Route(
                method,
                path,
                false,
                (call, exchange) ->
                        handler.handle(call.path().substring(path.length()), call, exchange));
    }

    @Override
    public void handle(HttpCall call, Exchange exchange) {
        routes.stream()
                .filter(route -> route.matches(call))
                .findFirst()
                .map(Route::handler)
                .orElse((unknown, reply) -> reply.answer(HttpReply.error(404, "no such path")))
                .handle(call, exchange);
    }
}
