package org.borageproxy.forward;

import java.util.Optional;
import java.util.function.Consumer;

import org.borageproxy.membership.BackendServer;
import org.borageproxy.publication.Repeatability;

/**
 * What began the stream of one request, if its route allows streams to be resumed: the attempt from which the caller
 * has the first event, in this request or in an earlier one. Only servers that match it may continue the stream. Not
 * thread safe; confined to one event loop.
 */
final class ResumableStream {

    private final ForwardContext context;
    private final BufferedRequest buffered;
    private final RequestLog log;
    private Optional<StreamOrigin> origin = Optional.empty();

    ResumableStream(ForwardContext context, BufferedRequest buffered, RequestLog log) {
        this.context = context;
        this.buffered = buffered;
        this.log = log;
    }

    /**
     * Returns whether the route allows streams to be resumed.
     *
     * @return {@code true} if an answer that breaks off can be continued
     */
    boolean isResumable() {
        return buffered.route().repeatability() == Repeatability.RESUMABLE_STREAM;
    }

    /**
     * Returns whether the caller takes up a stream that another request began.
     *
     * @return {@code true} if the origin has to be found first
     */
    boolean isTakenUp() {
        return isResumable() && buffered.metadata().lastEventIdentity().isPresent();
    }

    /**
     * Returns what began the stream.
     *
     * @return empty before the caller has an event of it
     */
    Optional<StreamOrigin> origin() {
        return origin;
    }

    /**
     * Finds what began a stream that is taken up. A caller that does not name the request that began it can resume it
     * while there is only one version.
     *
     * @param listener receives the origin, empty if it is unknown, possibly before this method returns
     */
    void findOrigin(Consumer<Optional<StreamOrigin>> listener) {
        buffered.metadata()
                .resumedRequest()
                .ifPresentOrElse(
                        begunBy -> context.streamOrigins().find(begunBy, listener::accept),
                        () -> listener.accept(context.pool().commonOrigin(buffered.service())));
    }

    /**
     * Records what was found.
     *
     * @param found the origin; empty if it is unknown
     * @return whether the stream can be resumed in the service of the request
     */
    boolean recordFound(Optional<StreamOrigin> found) {
        log.originFound(found);
        origin = found.filter(known -> known.service().equals(buffered.service()));
        return origin.isPresent();
    }

    /**
     * Records that the caller gets the first event of an answer.
     *
     * @param server the server that answers
     */
    void recordBegun(BackendServer server) {
        if (isResumable() && origin.isEmpty()) {
            StreamOrigin begun = new StreamOrigin(buffered.service(), server.softwareVersion());
            origin = Optional.of(begun);
            context.streamOrigins().recordBegun(buffered.metadata().requestIdentity(), begun);
        }
    }
}
