package org.borageproxy.standin;

import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.membership.LoadedModel;

/** Builds the bodies of {@code POST /v1/announce}. Stateless and thread safe. */
final class AnnouncementJson {

    private AnnouncementJson() {}

    /**
     * Builds the announcement of a model engine.
     *
     * @param sequence the announcement's sequence number, increasing within an incarnation
     * @param port the port that the engine listens on, which differs from a configured port of zero
     * @param models the models that accept requests
     * @param load the load to announce
     */
    static JsonObject ofEngine(
            EngineOptions options,
            long incarnation,
            long sequence,
            int port,
            List<LoadedModel> models,
            LoadReport load) {
        JsonArray accelerators = new JsonArray();
        options.memory()
                .accelerators()
                .forEach(accelerator -> accelerators.add(new JsonObject()
                        .put("name", accelerator.name())
                        .put("memory_bytes", accelerator.memoryBytes())));
        JsonArray loaded = new JsonArray();
        models.forEach(model -> loaded.add(ofModel(model)));
        return new JsonObject()
                .put("name", options.name())
                .put("incarnation", incarnation)
                .put("sequence", sequence)
                .put("kind", "engine")
                .put("zone", options.zone())
                .put("address", options.host() + ":" + port)
                .put("checks_fencing", options.checksFencing())
                .put("interval_millis", options.announcements().intervalMillis())
                .put("services", new JsonArray())
                .put("accelerators", accelerators)
                .put("models", loaded)
                .put("load", ofLoad(load));
    }

    /**
     * Builds the announcement of a plain service.
     *
     * @param sequence the announcement's sequence number, increasing within an incarnation
     * @param port the port that the service listens on, which differs from a configured port of zero
     */
    static JsonObject ofService(ServiceOptions options, long incarnation, long sequence, int port) {
        return new JsonObject()
                .put("name", options.name())
                .put("incarnation", incarnation)
                .put("sequence", sequence)
                .put("kind", "service")
                .put("zone", options.zone())
                .put("address", options.host() + ":" + port)
                .put("checks_fencing", false)
                .put("interval_millis", options.announcements().intervalMillis())
                .put("services", new JsonArray(options.services()));
    }

    private static JsonObject ofModel(LoadedModel model) {
        return new JsonObject()
                .put("model", model.model())
                .put("version", model.version())
                .put("accelerator", model.accelerator())
                .put(
                        "adapters",
                        new JsonArray(model.adapters().stream().sorted().toList()));
    }

    private static JsonObject ofLoad(LoadReport load) {
        return new JsonObject()
                .put("running", load.running())
                .put("waiting", load.waiting())
                .put("batch_limit", load.batchLimit())
                .put("tokens_per_second", load.tokensPerSecond())
                .put("prefill_tokens_per_second", load.prefillTokensPerSecond());
    }
}
