package org.borageproxy.standin;

import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.json.JsonObject;

/** Posts announcements to one VM at a time and turns to the next VM after a failure. Confined to one event loop. */
final class Announcer {

    /** The longest time that a VM may take to answer, in milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 2_000;

    /** The event loops and timers. */
    private final Vertx vertx;
    /** Where to announce. */
    private final Announcing announcing;
    /** Builds the next announcement; {@code null} from it skips one. */
    private final Supplier<JsonObject> announcement;
    /** Sends the announcements. */
    private final HttpClient client;
    /** The position of the VM that is used now. */
    private int position;
    /** The periodic timer. */
    private long timer = -1;

    /**
     * Creates an announcer.
     *
     * @param vertx the event loops and timers
     * @param announcing where to announce
     * @param announcement builds the next announcement; {@code null} from it skips one
     */
    Announcer(Vertx vertx, Announcing announcing, Supplier<JsonObject> announcement) {
        this.vertx = vertx;
        this.announcing = announcing;
        this.announcement = announcement;
        client = vertx.createHttpClient(
                new HttpClientOptions().setConnectTimeout(1_000).setKeepAliveTimeout(10));
    }

    /** Announces at once and from then on in each interval. */
    void start() {
        announceNow();
        timer = vertx.setPeriodic(announcing.intervalMillis(), ignored -> announceNow());
    }

    /** Announces once, outside the interval. */
    void announceNow() {
        JsonObject body = announcement.get();
        if (body != null) {
            post("/v1/announce", body);
        }
    }

    /**
     * Posts a message to the VM that is used now, and once to the next VM if it fails.
     *
     * @param path the path
     * @param body the message
     */
    void post(String path, JsonObject body) {
        if (announcing.targets().isEmpty()) {
            return;
        }
        int used = position;
        postTo(used, path, body).onFailure(failure -> {
            position = used + 1;
            if (announcing.targets().size() > 1) {
                postTo(position, path, body);
            }
        });
    }

    /**
     * Posts a message to one VM.
     *
     * @param index the position of the VM, taken modulo their number
     * @param path the path
     * @param body the message
     * @return succeeds with the HTTP status
     */
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
                .setIdleTimeout(ANSWER_TIMEOUT_MILLIS)
                .putHeader("content-type", "application/json")
                .putHeader("authorization", "Bearer " + announcing.credential());
        return client.request(options).compose(request -> request.send(body.toBuffer())
                .compose(response -> response.body().map(ignored -> response.statusCode())));
    }

    /** Stops the announcements; other messages still go out. */
    void stop() {
        if (timer >= 0) {
            vertx.cancelTimer(timer);
            timer = -1;
        }
    }

    /** Stops the announcements and closes the connections. */
    void close() {
        stop();
        client.close();
    }
}
