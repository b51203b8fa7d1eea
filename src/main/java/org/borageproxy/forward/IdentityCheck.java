package org.borageproxy.forward;

import java.util.function.Predicate;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * A question that only a running backend server can answer, and the test of the answer. The request runs nothing. The
 * record and its components are not changed after construction; confined to one event loop.
 *
 * @param request the request, without a body
 * @param names tests whether the head of an answer states that the server gave it
 */
public record IdentityCheck(HttpRequest request, Predicate<HttpResponse> names) {}
