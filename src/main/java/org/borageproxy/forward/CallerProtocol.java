package org.borageproxy.forward;

import java.util.Optional;

import io.netty.handler.codec.http.HttpHeaders;
import io.vertx.core.MultiMap;
import org.borageproxy.membership.BackendServerName;

/**
 * Names and formats of the heads that callers and backend servers exchange. Decides nothing. Implementations are
 * immutable and thread safe.
 */
public interface CallerProtocol {

    /**
     * Reads the head of a caller's request.
     *
     * @param headers the headers
     * @return what they say; fields that are malformed count as absent
     */
    RequestMetadata parseRequest(MultiMap headers);

    /**
     * Makes the headers of a request to a backend server: the caller's without its key and without what is not the
     * caller's to set, and what the dispatch adds.
     *
     * @param headers the caller's headers
     * @param dispatch what is added
     * @return the headers, without those that concern one connection
     */
    HttpHeaders forwardedHeaders(MultiMap headers, DispatchMetadata dispatch);

    /**
     * Reads the head of a backend server's answer.
     *
     * @param status the status
     * @param headers the headers
     * @return what they say
     */
    ResponseMetadata parseResponse(int status, HttpHeaders headers);

    /**
     * What the head of an answer says. Immutable and thread safe.
     *
     * @param requestIdentity the identity of the request that was answered; empty if none is stated
     * @param notRun whether the server states that it did not run the request
     * @param respondingServer the server that has the address of the one that was expected; empty if it is that one, or
     *     none is stated
     */
    record ResponseMetadata(String requestIdentity, boolean notRun, Optional<BackendServerName> respondingServer) {}
}
