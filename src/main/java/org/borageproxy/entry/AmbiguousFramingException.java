package org.borageproxy.entry;

/** Says that a request states the length of its body in more than one way. Immutable. */
public final class AmbiguousFramingException extends IllegalArgumentException {

    /** Creates an exception. */
    AmbiguousFramingException() {
        super("Both Content-Length and Transfer-Encoding");
    }
}
