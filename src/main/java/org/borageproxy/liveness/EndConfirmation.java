package org.borageproxy.liveness;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Confirms that a backend server, and the VM through which it is reached, still run after a connection to the server
 * has ended: the kernel ends the connections of a process that is killed in the same order as the process itself would.
 * Only an answer by name that is asked for after the end confirms it. An accepted connection does not, since the
 * address may belong to a proxy, and neither does silence. The connection that was used is closed, so that no later
 * confirmation takes a second copy of its answer for its own. The outcome is set once. Not thread safe; confined to one
 * event loop.
 */
public final class EndConfirmation {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndConfirmation.class);
    /** Timeout of an answer on a connection that was open before the end, which no other incarnation can give. */
    private static final Duration OPEN_CONNECTION_TIMEOUT = Duration.ofMillis(1000);
    /** Timeout of an answer on a new connection; below the time in which a server process starts again. */
    private static final Duration NEW_CONNECTION_TIMEOUT = Duration.ofMillis(300);

    private final BackendServer server;
    private final Optional<VmName> relay;
    private final IdentityCheck check;
    private final Environment environment;
    private final CompletableFuture<Void> confirmed = new CompletableFuture<>();
    private final long beganAtNanos;
    private Optional<Link> connection = Optional.empty();
    private boolean isNewConnection;

    /** A connection to the server that carries no other exchange. */
    public interface Link {

        /**
         * Sends the question. Called once.
         *
         * @param request the request, without a body
         * @param onHead receives the head of the answer, at most once
         * @param onFailure receives the reason if the connection fails before the end of the answer
         */
        void ask(HttpRequest request, Consumer<HttpResponse> onHead, Consumer<String> onFailure);

        /** Closes the connection. */
        void close();
    }

    /** Opens and takes the connections of a confirmation, and runs it. */
    public interface Environment {

        /**
         * Takes an idle connection to the incarnation of the server.
         *
         * @param relay the VM through which it must lead; empty for a direct one
         * @return a connection that was opened before; empty if there is none
         */
        Optional<Link> takeIdle(Optional<VmName> relay);

        /**
         * Opens a connection to the server.
         *
         * @param relay the VM through which it must lead; empty for a direct one
         * @return the connection; fails if it cannot be opened
         */
        CompletionStage<Link> open(Optional<VmName> relay);

        /**
         * Records that the server wants no requests for a time.
         *
         * @param relay the VM that it answered; empty for this one
         * @param time the time
         */
        void recordRefusal(Optional<VmName> relay, Duration time);

        /**
         * Returns whether no later incarnation of the server is known.
         *
         * @return {@code false} if the server has started again
         */
        boolean isLatestIncarnation();

        /**
         * Returns the time.
         *
         * @return the reading of the monotonic clock in nanoseconds
         */
        long nanoTime();

        /**
         * Runs a task at a time.
         *
         * @param deadline the time on the monotonic clock
         * @param task the task
         */
        void schedule(Deadline deadline, Runnable task);

        /**
         * Records an outcome.
         *
         * @param isConfirmed whether the server was shown to run
         * @param nanos the time that it took, in nanoseconds
         */
        void record(boolean isConfirmed, long nanos);
    }

    /**
     * Creates a confirmation that has not begun.
     *
     * @param server the server, which has ended a connection
     * @param relay the VM through which that connection led; empty for a direct one
     * @param check the question
     * @param environment the connections and the time
     */
    public EndConfirmation(BackendServer server, Optional<VmName> relay, IdentityCheck check, Environment environment) {
        this.server = server;
        this.relay = relay;
        this.check = check;
        this.environment = environment;
        this.beganAtNanos = environment.nanoTime();
    }

    /**
     * Asks the server for its name.
     *
     * @return completes if the server has confirmed that it runs; fails otherwise, within the longer timeout
     */
    public CompletionStage<Void> begin() {
        environment.schedule(
                Deadline.after(beganAtNanos, OPEN_CONNECTION_TIMEOUT),
                () -> end(Optional.of("no answer on a connection")));
        askOnIdleConnection();
        return confirmed;
    }

    private void askOnIdleConnection() {
        environment.takeIdle(relay).ifPresentOrElse(this::ask, this::askOnNewConnection);
    }

    private void askOnNewConnection() {
        isNewConnection = true;
        Deadline deadline = Deadline.after(beganAtNanos, NEW_CONNECTION_TIMEOUT);
        if (deadline.hasPassed(environment.nanoTime())) {
            end(Optional.of("connections closed"));
            return;
        }
        environment.schedule(deadline, () -> end(Optional.of("no answer on a new connection")));
        environment.open(relay).whenComplete((opened, failure) -> {
            if (failure != null) {
                end(Optional.of("not reached: " + failure.getMessage()));
            } else if (confirmed.isDone()) {
                opened.close();
            } else {
                ask(opened);
            }
        });
    }

    private void ask(Link open) {
        connection = Optional.of(open);
        open.ask(check.request(), this::handleHead, this::handleFailure);
    }

    private void handleHead(HttpResponse response) {
        check.retryAfter().apply(response).ifPresent(time -> environment.recordRefusal(relay, time));
        // On a connection that carried requests before, a refusal may be the copy of an earlier one.
        boolean isShown = check.names().test(response)
                || isNewConnection && check.refuses().test(response);
        if (!environment.isLatestIncarnation()) {
            end(Optional.of("server has started again"));
        } else if (isShown) {
            end(Optional.empty());
        } else if (isNewConnection) {
            end(Optional.of("status " + response.status().code() + " without the name of the server"));
        } else {
            connection.ifPresent(Link::close);
            connection = Optional.empty();
            askOnNewConnection();
        }
    }

    private void handleFailure(String reason) {
        connection = Optional.empty();
        if (isNewConnection) {
            end(Optional.of("not answered: " + reason));
        } else if (!confirmed.isDone()) {
            // A server also closes idle connections of its own accord.
            askOnNewConnection();
        }
    }

    private void end(Optional<String> obstacle) {
        if (confirmed.isDone()) {
            return;
        }
        long nanos = environment.nanoTime() - beganAtNanos;
        LOGGER.info(
                "event=answer-end-checked server={} incarnation={} relay={} connection={} confirmed={} reason=\"{}\""
                        + " wait_us={}",
                server.name(),
                server.incarnation(),
                relay.map(VmName::value).orElse("-"),
                isNewConnection ? "new" : "open",
                obstacle.isEmpty(),
                obstacle.orElse("-"),
                nanos / 1000);
        environment.record(obstacle.isEmpty(), nanos);
        connection.ifPresent(Link::close);
        connection = Optional.empty();
        obstacle.ifPresentOrElse(
                reason -> confirmed.completeExceptionally(new IllegalStateException(reason)),
                () -> confirmed.complete(null));
    }
}
