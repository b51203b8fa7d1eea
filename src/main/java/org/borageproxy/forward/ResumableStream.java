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
    private boolean isRecorded;

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
     * Returns whether the caller takes up a stream that another request began: it names that request, its last event or
     * both.
     *
     * @return {@code true} if the origin has to be found first
     */
    boolean isTakenUp() {
        RequestMetadata metadata = buffered.metadata();
        return isResumable()
                && (metadata.lastEventIdentity().isPresent()
                        || metadata.resumedRequest().isPresent());
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
     * Returns whether a server may run the request.
     *
     * @param server the server
     * @return {@code false} if it cannot continue the stream, whoever selected it
     */
    boolean mayRunAt(BackendServer server) {
        return origin.map(known -> known.matches(server)).orElse(true);
    }

    /**
     * Finds what began a stream that is taken up. The origin of a stream whose caller does not name a request that
     * began or resumed it is unknown: the versions announced now say nothing about it, since the servers of the version
     * that began it may have left, or this VM may not have heard of them yet.
     *
     * @param listener receives the origin, empty if it is unknown, possibly before this method returns
     */
    void findOrigin(Consumer<Optional<StreamOrigin>> listener) {
        buffered.metadata()
                .resumedRequest()
                .ifPresentOrElse(
                        begunBy -> context.streamOrigins().find(begunBy, listener::accept),
                        () -> listener.accept(Optional.empty()));
    }

    /**
     * Selects the service in which a stream that is taken up goes on.
     *
     * @param found the origin; empty if it is unknown
     * @return the origin, empty if it is unknown or the route leads to its service no more
     */
    Optional<StreamOrigin> select(Optional<StreamOrigin> found) {
        log.originFound(found);
        return found.filter(known -> buffered.route().leadsTo(known.service()));
    }

    /**
     * Records what began the stream that is taken up.
     *
     * @param begun the origin, in the service of the request
     */
    void recordOrigin(StreamOrigin begun) {
        origin = Optional.of(begun);
    }

    /**
     * Records that the caller gets an event of an answer. The origin of a resumed stream is recorded under the request
     * that resumed it as well, since a caller may name either.
     *
     * @param server the server that answers
     */
    void recordEvent(BackendServer server) {
        if (!isResumable() || isRecorded) {
            return;
        }
        isRecorded = true;
        if (origin.isEmpty()) {
            origin = Optional.of(new StreamOrigin(buffered.service(), server.softwareVersion()));
        }
        context.streamOrigins().recordBegun(buffered.metadata().requestIdentity(), origin.get());
    }
}
