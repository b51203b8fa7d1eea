package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.MultiMap;
import org.borageproxy.answer.AnswerOrigin;
import org.borageproxy.liveness.IdentityCheck;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.ServerStatement;

/**
 * Names and formats of the header fields of callers and backend servers. Contains no forwarding policy. Implementations
 * are immutable and thread safe.
 */
public interface CallerProtocol {

    /**
     * Parses the headers of a caller's request.
     *
     * @param headers the headers
     * @return the metadata; malformed fields are treated as absent
     */
    RequestMetadata parseRequest(MultiMap headers);

    /**
     * Builds the headers of a request to a backend server from the caller's, without its API key and without fields
     * that callers may not set, and the dispatch metadata.
     *
     * @param headers the caller's headers
     * @param dispatch the metadata to add
     * @return the headers, without hop-by-hop headers
     */
    HttpHeaders forwardedHeaders(MultiMap headers, DispatchMetadata dispatch);

    /**
     * Parses the head of a backend server's answer.
     *
     * @param status the HTTP status
     * @param headers the headers
     * @return the metadata
     */
    ResponseMetadata parseResponse(int status, HttpHeaders headers);

    /**
     * Returns a question that a running backend server answers with its name, without running anything.
     *
     * @param server the server
     * @param path the path of the request
     * @return the question and the test of the answer
     */
    IdentityCheck identityCheck(BackendServerName server, String path);

    /**
     * Metadata in the head of a backend server's answer. Immutable and thread safe.
     *
     * @param origin what the answer states about who made it and for which request
     * @param notRun whether the server states that it did not run the request
     * @param respondingServer the server that answered at the address of the expected one; empty if it is the expected
     *     one or none is stated
     * @param statement what the server states about its capacity; empty if that cannot be read
     * @param retryAfter how long the server wants no further requests from the VM that it answered; positive
     * @param isLeaving whether the expected server states that it leaves
     */
    record ResponseMetadata(
            AnswerOrigin origin,
            boolean notRun,
            Optional<BackendServerName> respondingServer,
            Optional<ServerStatement> statement,
            Optional<Duration> retryAfter,
            boolean isLeaving) {}
}
