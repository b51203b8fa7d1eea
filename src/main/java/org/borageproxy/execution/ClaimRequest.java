package org.borageproxy.execution;

/**
 * What a claim is asked for. Immutable and thread safe.
 *
 * @param key what identifies the request
 * @param digest the hexadecimal digest of the request's method, path and body
 * @param createdAtMillis when the caller created the request, in milliseconds since 1970, or zero if not stated
 */
public record ClaimRequest(ClaimKey key, String digest, long createdAtMillis) {}
