package org.borageproxy.execution;

/**
 * The parameters of a claim. Immutable and thread safe.
 *
 * @param key the identifier of the request
 * @param digest the hexadecimal digest of the request's method, path and body
 * @param createdAtMillis when the caller created the request, in milliseconds since 1970, or 0 if not stated
 */
public record ClaimRequest(ClaimKey key, String digest, long createdAtMillis) {}
