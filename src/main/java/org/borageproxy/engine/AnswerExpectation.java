package org.borageproxy.engine;

import java.util.Optional;

import io.netty.channel.Channel;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.net.impl.ConnectionBase;
import org.borageproxy.answer.AnswerGuard;

/**
 * Makes the connections of an HTTP client pass only bytes of expected, well-formed answers to its decoder. Every
 * request of a client must be announced, since requests share connections. Stateless and thread safe.
 */
public final class AnswerExpectation {

    private AnswerExpectation() {}

    /**
     * Expects the answer to a request on its connection.
     *
     * @param request the request, on an open connection, of which nothing has been sent
     */
    public static void begin(HttpClientRequest request) {
        Channel channel = ((ConnectionBase) request.connection()).channel();
        boolean isHeadRequest = HttpMethod.HEAD.equals(request.getMethod());
        if (channel.eventLoop().inEventLoop()) {
            guardOf(channel).expectAnswer(isHeadRequest);
        } else {
            channel.eventLoop().execute(() -> guardOf(channel).expectAnswer(isHeadRequest));
        }
    }

    private static AnswerGuard guardOf(Channel channel) {
        return Optional.ofNullable(channel.pipeline().get(AnswerGuard.class)).orElseGet(() -> {
            AnswerGuard guard = new AnswerGuard();
            channel.pipeline().addFirst(guard);
            return guard;
        });
    }
}
