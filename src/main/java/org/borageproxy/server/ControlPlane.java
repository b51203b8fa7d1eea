package org.borageproxy.server;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionStage;

import org.borageproxy.membership.Announcement;
import org.borageproxy.membership.BackendServerName;

/** What operators and backend servers may ask of a control VM. Implementations are safe for use by any thread. */
public interface ControlPlane {

    /**
     * Publishes a document.
     *
     * @param document the document
     * @return the outcome; never fails
     */
    CompletionStage<Published> publish(byte[] document);

    /**
     * Reads the published document with the highest number.
     *
     * @return empty if this VM cannot be sure which it is, or there is none; never fails
     */
    CompletionStage<Optional<byte[]>> read();

    /**
     * Takes a heartbeat of a backend server.
     *
     * @param announcement what it says of itself
     * @param leaves whether it is about to leave
     */
    void announced(Announcement announcement, boolean leaves);

    /**
     * Notes that a backend server has left.
     *
     * @param name the server
     * @param incarnation its incarnation, empty for the one that is known
     */
    void left(BackendServerName name, OptionalLong incarnation);

    /** The outcome of a publication. Variants are immutable and thread safe. */
    sealed interface Published {

        /**
         * The document, or one with a higher number, is in force.
         *
         * @param number the number in force
         */
        record Accepted(long number) implements Published {}

        /**
         * The document is not valid and will not come into force.
         *
         * @param reason what is wrong
         */
        record Invalid(String reason) implements Published {}

        /** The document may or may not come into force. */
        record Unknown() implements Published {}
    }
}
