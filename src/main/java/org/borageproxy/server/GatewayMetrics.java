package org.borageproxy.server;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.borageproxy.forward.ForwardMetrics;
import org.borageproxy.settings.Endpoint;

/** The counters and latency histograms of a gateway VM. Safe for use by any thread. */
final class GatewayMetrics implements ForwardMetrics {

    private static final Duration[] BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10)
    };
    private static final long MICROS_PER_MILLISECOND = 1000;

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    @Override
    public void recordRequest(String route, String outcome, double millis) {
        timer("requests", "route", route, outcome, millis);
    }

    @Override
    public void recordAttempt(String service, String outcome, double millis) {
        timer("attempts", "service", service, outcome, millis);
    }

    private void timer(String name, String dimension, String value, String outcome, double millis) {
        Timer.builder(name)
                .tag(dimension, value)
                .tag("outcome", outcome)
                .serviceLevelObjectives(BUCKETS)
                .register(registry)
                .record((long) (millis * MICROS_PER_MILLISECOND), TimeUnit.MICROSECONDS);
    }

    /**
     * Shows a value.
     *
     * @param name the name
     * @param value returns the value now
     */
    void show(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Serves the figures as text.
     *
     * @param vertx runs the server
     * @param endpoint where to listen
     * @return completes when requests are answered
     */
    Future<HttpServer> serve(Vertx vertx, Endpoint endpoint) {
        HttpServerOptions options =
                new HttpServerOptions().setHost(endpoint.host()).setPort(endpoint.port());
        return vertx.createHttpServer(options)
                .requestHandler(request -> request.response().end(registry.scrape()))
                .listen();
    }
}
