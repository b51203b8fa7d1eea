package org.borageproxy.standin;

import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/**
 * Posts announcements to one VM at a time and fails over to the next VM when a request fails. Any HTTP response counts
 * as success, whatever its status. Confined to one event loop.
 */
final class Announcer {

    private static final long RESPONSE_TIMEOUT_MILLIS = 2_000;

    private final Vertx vertx;
    private final AnnouncementSettings announcing;
    private final Supplier<JsonObject> announcement;
    private final HttpClient client;
    private int targetIndex;
    private long timer = -1;

    /**
     * Creates an announcer that is not started.
     *
     * @param announcement builds the next announcement; {@code null} from it skips one
     */
    Announcer(Vertx vertx, AnnouncementSettings announcing, Supplier<JsonObject> announcement) {
        this.vertx = vertx;
        this.announcing = announcing;
        this.announcement = announcement;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1_000).setKeepAliveTimeout(10));
    }

    /** Announces immediately and then once per announcement interval. */
    void start() {
        announceNow();
        timer = vertx.setPeriodic(announcing.intervalMillis(), ignored -> announceNow());
    }

    /** Announces immediately; the periodic announcements are not rescheduled. */
    void announceNow() {
        JsonObject body = announcement.get();
        if (body != null) {
            post("/v1/announce", body);
        }
    }

    /**
     * Posts a message to the current VM. On failure the next VM becomes the current one and receives the message once;
     * there is no further retry, and none at all with a single VM. Does nothing if no VM is configured.
     *
     * @param path the request path
     * @param body the message
     */
    void post(String path, JsonObject body) {
        if (announcing.targets().isEmpty()) {
            return;
        }
        int used = targetIndex;
        postTo(used, path, body).onFailure(failure -> {
            targetIndex = used + 1;
            if (announcing.targets().size() > 1) {
                postTo(targetIndex, path, body);
            }
        });
    }

    private Future<Integer> postTo(int index, String path, JsonObject body) {
        String target = announcing
                .targets()
                .get(Math.floorMod(index, announcing.targets().size()));
        int colon = target.lastIndexOf(':');
        RequestOptions options = new RequestOptions()
                .setMethod(HttpMethod.POST)
                .setHost(target.substring(0, colon))
                .setPort(Integer.parseInt(target.substring(colon + 1)))
                .setURI(path)
                .setIdleTimeout(RESPONSE_TIMEOUT_MILLIS)
                .putHeader("content-type", "application/json")
                .putHeader("authorization", "Bearer " + announcing.credential());
        return client.request(options).compose(request -> request.send(body.toBuffer())
                .compose(response -> response.body().map(ignored -> response.statusCode())));
    }

    /** Stops the periodic announcements; {@link #post} still works. */
    void stop() {
        if (timer >= 0) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    /** Stops the periodic announcements and closes the connections. */
    void close() {
        stop();
        client.close();
    }
}
