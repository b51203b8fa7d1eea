package org.borageproxy.entry;

/** Thrown for a request with both Content-Length and Transfer-Encoding. Immutable. */
public final class AmbiguousFramingException extends IllegalArgumentException {

    AmbiguousFramingException() {
        super("Request has both Content-Length and Transfer-Encoding");
    }
}
