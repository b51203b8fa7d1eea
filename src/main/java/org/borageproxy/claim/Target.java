package org.borageproxy.claim;

import java.util.Optional;

import org.borageproxy.membership.BackendServer;

/**
 * The model and adapter that a request needs. Immutable and thread safe.
 *
 * @param service the service
 * @param model the model
 * @param adapter the adapter, empty for none
 * @param softwareVersion the version of the software that must run the model; empty for any
 */
public record Target(String service, String model, String adapter, Optional<String> softwareVersion) {

    /**
     * Creates the target of requests that any software version can run.
     *
     * @param service the service
     * @param model the model
     * @param adapter the adapter, empty for none
     */
    public Target(String service, String model, String adapter) {
        this(service, model, adapter, Optional.empty());
    }

    /**
     * Returns this target without a required software version.
     *
     * @return the target of requests that any software version can run
     */
    public Target ofAnyVersion() {
        return new Target(service, model, adapter);
    }

    /**
     * Returns whether a server can run the requests once it has model and adapter.
     *
     * @param server the server
     * @return {@code false} if it runs another service or software version
     */
    public boolean admits(BackendServer server) {
        return server.services().contains(service)
                && softwareVersion
                        .map(required -> required.equals(server.softwareVersion()))
                        .orElse(true);
    }

    /**
     * Returns the model and adapter as they stand in log lines.
     *
     * @return the model, followed by a slash and the adapter if there is one
     */
    public String label() {
        return adapter.isEmpty() ? model : model + '/' + adapter;
    }
}
