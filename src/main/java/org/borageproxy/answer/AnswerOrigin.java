package org.borageproxy.answer;

import java.util.List;
import java.util.Optional;

/**
 * What the head of an answer states about who made it and for which request. Immutable and thread safe.
 *
 * @param identities the identities of the answered request, one for each time that the field is stated
 * @param signatures the signatures of the server, one for each time that the field is stated
 * @param isEncoded whether the body is stated to be encoded, which the server does not do
 */
public record AnswerOrigin(List<String> identities, List<String> signatures, boolean isEncoded) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECTION = 300;

    /**
     * Creates the statement.
     *
     * @param identities the identities of the answered request
     * @param signatures the signatures of the server
     * @param isEncoded whether the body is stated to be encoded
     */
    public AnswerOrigin {
        identities = List.copyOf(identities);
        signatures = List.copyOf(signatures);
    }

    /**
     * Returns why the answer is not the server's answer to a request. Only a success needs a signature: a server that
     * refuses a request states none.
     *
     * @param status the HTTP status of the answer
     * @param requestIdentity the identity of the request
     * @param acceptsNoIdentity whether the answer may state no request, since it says that the request did not run and
     *     cannot be the copy of an earlier answer on the connection
     * @return the reason, for logs; empty if nothing speaks against the answer
     */
    public Optional<String> obstacle(int status, String requestIdentity, boolean acceptsNoIdentity) {
        if (identities.size() > 1) {
            return Optional.of("malformed answer: several identities");
        }
        if (signatures.size() > 1) {
            return Optional.of("malformed answer: several signatures");
        }
        String identity = identities.isEmpty() ? "" : identities.get(0);
        boolean isOwn = identity.isEmpty() ? acceptsNoIdentity : identity.equals(requestIdentity);
        if (!isOwn) {
            return Optional.of("answer belongs to another request");
        }
        boolean isSuccess = status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
        if (isSuccess && signatures.stream().allMatch(String::isBlank)) {
            return Optional.of("success without a signature");
        }
        return isEncoded ? Optional.of("answer with an encoded body") : Optional.empty();
    }
}
