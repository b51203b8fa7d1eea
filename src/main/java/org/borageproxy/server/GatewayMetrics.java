package org.borageproxy.server;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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

/** Request counters, latency histograms and gauges of a gateway VM. Thread safe. */
final class GatewayMetrics implements ForwardMetrics {

    private static final Duration[] LATENCY_BUCKETS = {
        Duration.ofMillis(50),
        Duration.ofMillis(100),
        Duration.ofMillis(250),
        Duration.ofMillis(500),
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        Duration.ofSeconds(5),
        Duration.ofSeconds(10)
    };
    private static final long MICROS_PER_MILLI = 1000;

    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    /**
     * Timers by name, value and outcome, since looking one up in the registry needs a builder, tags and their order.
     */
    private final Map<String, Timer> timers = new ConcurrentHashMap<>();

    @Override
    public void recordRequest(String route, String outcome, double millis) {
        recordTimer("requests", "route", route, outcome, millis);
    }

    @Override
    public void recordAttempt(String service, String outcome, double millis) {
        recordTimer("attempts", "service", service, outcome, millis);
    }

    private void recordTimer(String name, String dimension, String value, String outcome, double millis) {
        timers.computeIfAbsent(String.join("\n", name, value, outcome), key -> Timer.builder(name)
                        .tag(dimension, value)
                        .tag("outcome", outcome)
                        .serviceLevelObjectives(LATENCY_BUCKETS)
                        .register(registry))
                .record((long) (millis * MICROS_PER_MILLI), TimeUnit.MICROSECONDS);
    }

    /**
     * Registers a gauge.
     *
     * @param name the name of the metric
     * @param value returns the current value; called on each scrape
     */
    void registerGauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    /**
     * Starts an HTTP server that answers every request with all metrics.
     *
     * @param vertx the event loops of the server
     * @param endpoint the address to listen on
     * @return completes when the server listens; fails if the port cannot be opened
     */
    Future<HttpServer> serve(Vertx vertx, Endpoint endpoint) {
        HttpServerOptions options =
                new HttpServerOptions().setHost(endpoint.host()).setPort(endpoint.port());
        return vertx.createHttpServer(options)
                .requestHandler(request -> request.response().end(registry.scrape()))
                .listen();
    }
}
