package org.sequoiaspindle.standins.protocol;

import java.util.List;
import java.util.function.Function;

/** Selects the handler of a request by method and path; unknown paths get status 404. */
public final class Router implements HttpHandler {

    /**
     * Handler of one method and path.
     *
     * @param exactMatch whether the whole path must match; otherwise only a prefix must match
     */
    public record Route(String method, String path, boolean exactMatch, HttpHandler handler) {

        private boolean matches(FullRequest request) {
            return request.method().equals(method)
                    && (exactMatch ? request.path().equals(path) : request.path().startsWith(path));
        }
    }

    /**
     * Serves requests to a route with a path prefix; receives the part of the path after the
     * prefix.
     */
    @FunctionalInterface
    public interface PathSuffixHandler {

        void handle(String pathSuffix, FullRequest request, HttpResponder responder);
    }

    private final List<Route> routes;

    public Router(List<Route> routes) {
        this.routes = List.copyOf(routes);
    }

    /** Returns a route for exactly the given path. */
    public static Route exact(String method, String path, HttpHandler handler) {
        return new Route(method, path, true, handler);
    }

    /** Returns a route whose function computes the response immediately. */
    public static Route immediate(
            String method, String path, Function<FullRequest, FullResponse> responseFunction) {
        return exact(
                method,
                path,
                (request, responder) -> responder.send(responseFunction.apply(request)));
    }

    /** Returns a route for all paths that start with the given path. */
    public static Route underPath(String method, String path, PathSuffixHandler handler) {
        return new Route(
                method,
                path,
                false,
                (request, responder) ->
                        handler.handle(
                                request.path().substring(path.length()), request, responder));
    }

    @Override
    public void handle(FullRequest request, HttpResponder responder) {
        routes.stream()
                .filter(route -> route.matches(request))
                .findFirst()
                .map(Route::handler)
                .orElse(
                        (unmatchedCall, errorResponder) ->
                                errorResponder.send(FullResponse.error(404, "no such path")))
                .handle(request, responder);
    }
}
