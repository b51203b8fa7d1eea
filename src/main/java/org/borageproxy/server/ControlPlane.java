package org.borageproxy.server;

import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedSet;
import java.util.concurrent.CompletionStage;

import org.borageproxy.membership.Announcement;
import org.borageproxy.membership.BackendServerName;

/** Calls of operators and backend servers to a VM of the control group. Implementations are thread safe. */
public interface ControlPlane {

    /**
     * Publishes a configuration.
     *
     * @param document the encoded document
     * @return the outcome; never fails
     */
    CompletionStage<PublishResult> publish(byte[] document);

    /**
     * Reads the published document with the highest number.
     *
     * @return the document, or empty if there is none or this VM cannot confirm that its state is current; never fails
     */
    CompletionStage<Optional<byte[]>> read();

    /**
     * Handles a heartbeat of a backend server.
     *
     * @param announcement the state that the server announces
     * @param isLeaving whether the server is about to leave
     */
    void handleHeartbeat(Announcement announcement, boolean isLeaving);

    /**
     * Handles the departure of a backend server.
     *
     * @param name the name of the server
     * @param incarnation the incarnation that left; empty for the highest known one
     */
    void handleDeparture(BackendServerName name, OptionalLong incarnation);

    /**
     * Drains a zone, so that no VM sends requests to its backend servers, or returns it.
     *
     * @param zone the name of the zone
     * @param isDrain {@code false} to return the zone
     * @return the outcome; never fails
     */
    CompletionStage<ZoneOrderResult> orderZone(String zone, boolean isDrain);

    /**
     * Reads the zones that are drained.
     *
     * @return the names in order, or empty if this VM cannot confirm that its state is current; never fails
     */
    CompletionStage<Optional<SortedSet<String>>> readDrainedZones();

    /** Outcome of an order to drain or return a zone. */
    enum ZoneOrderResult {
        /** The order is committed and obeyed by all VMs in contact with the control group within seconds. */
        ACCEPTED,
        /** The settings name no such zone. */
        UNKNOWN_ZONE,
        /** The order will not be executed: there is no leader, or a VM would not obey it. */
        UNAVAILABLE,
        /** The order may or may not be executed. */
        UNKNOWN
    }

    /** Outcome of a publication. Variants are immutable and thread safe. */
    sealed interface PublishResult {

        /**
         * The document, or one with a higher number, is in force.
         *
         * @param number the number of the submitted document
         */
        record Accepted(long number) implements PublishResult {}

        /**
         * The document is not valid and will not come into force.
         *
         * @param reason the errors of the document
         */
        record Invalid(String reason) implements PublishResult {}

        /** The document may or may not come into force. */
        record Unknown() implements PublishResult {}
    }
}
