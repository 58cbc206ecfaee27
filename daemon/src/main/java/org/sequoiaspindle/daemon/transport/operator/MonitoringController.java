package org.sequoiaspindle.daemon.transport.operator;

import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MediaType;
import io.micronaut.http.annotation.Controller;
import io.micronaut.http.annotation.Get;

/** Serves metrics and health checks of the instance, without authentication. */
@Controller
final class MonitoringController {

    private static final MediaType PROMETHEUS =
            MediaType.of("text/plain; version=0.0.4; charset=utf-8");

    private final MonitoringDependencies dependencies;

    MonitoringController(MonitoringDependencies dependencies) {
        this.dependencies = dependencies;
    }

    @Get(uri = "/metrics", produces = MediaType.ALL)
    HttpResponse<?> metrics() {
        return HttpResponse.ok(dependencies.metrics().get()).contentType(PROMETHEUS);
    }

    @Get(uri = "/health/live", produces = MediaType.ALL)
    HttpResponse<?> live() {
        return HttpResponse.ok("live").contentType(MediaType.TEXT_PLAIN_TYPE);
    }

    @Get(uri = "/health/ready", produces = MediaType.ALL)
    HttpResponse<?> ready() {
        return dependencies.ready().getAsBoolean()
                ? HttpResponse.ok("ready").contentType(MediaType.TEXT_PLAIN_TYPE)
                : HttpResponse.status(HttpStatus.SERVICE_UNAVAILABLE)
                        .contentType(MediaType.TEXT_PLAIN_TYPE)
                        .body("not ready");
    }
}
