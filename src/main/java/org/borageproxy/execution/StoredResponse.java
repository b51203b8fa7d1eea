package org.borageproxy.execution;

import com.google.protobuf.ByteString;

/**
 * A response stored for replay to callers that resend a request. Immutable and thread safe.
 *
 * @param status the HTTP status
 * @param contentType the media type of the body
 * @param body the complete body
 */
public record StoredResponse(int status, String contentType, ByteString body) {}
