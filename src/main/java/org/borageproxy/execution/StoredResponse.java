package org.borageproxy.execution;

import com.google.protobuf.ByteString;

/**
 * An answer that is kept for callers who send a request again. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the whole body
 */
public record StoredResponse(int status, String contentType, ByteString body) {}
