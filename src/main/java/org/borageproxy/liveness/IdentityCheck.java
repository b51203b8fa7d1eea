package org.borageproxy.liveness;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A question that only a running backend server can answer, and the tests of the head of an answer. The request runs
 * nothing. The record and its components are not changed after construction; confined to one event loop.
 *
 * @param request the request, without a body
 * @param names tests whether the server is named
 * @param refuses tests whether the expected server refuses without a name, as one that has no room or leaves does
 * @param retryAfter returns how long the server wants no further requests from the VM that it answered; positive
 */
public record IdentityCheck(
        HttpRequest request,
        Predicate<HttpResponse> names,
        Predicate<HttpResponse> refuses,
        Function<HttpResponse, Optional<Duration>> retryAfter) {}
