package org.borageproxy.forward;

import java.util.Optional;
import java.util.OptionalInt;

import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.publication.PublishedWorkspace;

/** Heads of requests to backend servers. Stateless and thread safe. */
final class ForwardedHead {

    private ForwardedHead() {}

    /**
     * Builds the head of a request.
     *
     * @param context supplies the protocol and the time, from which the remaining time is computed
     * @param buffered the caller's request
     * @param server the server that is to run it
     * @param relayedEvent the identity of the last event that was relayed in this answer; empty if there is none
     * @return the head, with the length of the body
     */
    static HttpRequest of(
            ForwardContext context, BufferedRequest buffered, BackendServer server, Optional<String> relayedEvent) {
        long remainingMillis =
                buffered.deadline().remainingMillis(context.clock().nanoTime());
        DispatchMetadata dispatch = new DispatchMetadata(
                server.name(),
                buffered.workspace().map(PublishedWorkspace::name),
                Math.max(1, remainingMillis),
                buffered.metadata().work().isPresent() ? OptionalInt.of(buffered.urgency()) : OptionalInt.empty(),
                relayedEvent.or(() -> buffered.metadata().lastEventIdentity()));
        HttpHeaders headers =
                context.protocol().forwardedHeaders(buffered.request().headers(), dispatch);
        HttpMethod method = HttpMethod.valueOf(buffered.request().method().name());
        if (buffered.body().length() > 0 || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, buffered.body().length());
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, method, buffered.request().uri(), headers);
    }
}
