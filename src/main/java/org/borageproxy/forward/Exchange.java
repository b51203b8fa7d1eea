package org.borageproxy.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import io.vertx.core.http.HttpServerRequest;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.publication.PublishedWorkspace;
import org.borageproxy.publication.Repeatability;
import org.borageproxy.quota.RateShares;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.Deadline;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;

/**
 * One request from its arrival to its last byte: finds a server, sends, sends again where that is safe and the budget
 * allows it, and passes the answer back. A request is refused as not run only if no server can have begun it. Used by
 * one event loop only.
 */
final class Exchange {

    /** The most servers that are asked for one request, those that refused it included. */
    private static final int MOST_SENDS = 4;
    /** The largest answer that is held back until it is whole. */
    private static final int MOST_HELD_BYTES = 512 << 10;
    /** When a caller may come back after a refusal whose cause passes quickly. */
    private static final Duration SOON = Duration.ofMillis(300);
    /** The time that a server's own answer at the deadline gets to arrive. */
    private static final Duration DEADLINE_GRACE = Duration.ofMillis(40);

    private static final int MISDIRECTED = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ForwardContext parts;
    private final BufferedRequest held;
    private final RequestLog log;
    private final RateAdmission rate;
    private final Consumer<Exchange> ended;
    private final ResponseRelay relay;
    private final Set<BackendServerName> tried = new HashSet<>();
    private final Set<BackendServerName> absentAt = new HashSet<>();
    private final Set<BackendServerName> goneServers = new HashSet<>();
    private final EventScanner scanner = new EventScanner();
    private final LocalSearch local;
    private ScheduledFuture<?> deadlineTimer;
    private Optional<Attempt> current = Optional.empty();
    private Optional<HttpResponse> firstHead = Optional.empty();
    private int sends;
    private int runs;
    private boolean hasEnded;

    Exchange(ForwardContext parts, BufferedRequest held, Consumer<Exchange> ended) {
        this.parts = parts;
        this.held = held;
        this.ended = ended;
        this.relay = new ResponseRelay(held.request().response());
        this.log = new RequestLog(held, parts.clock());
        this.rate = new RateAdmission(parts, held);
        this.local = new LocalSearch(parts, held, log, tried, new LocalOutcome());
    }

    /** Begins. */
    void start() {
        HttpServerRequest request = held.request();
        request.response().closeHandler(closed -> callerLeft());
        request.response().exceptionHandler(failure -> callerLeft());
        if (held.deadline().hasPassed(parts.clock().nanoTime())) {
            refuse(RefusalReason.EXPIRED_UNSENT, Optional.empty());
            return;
        }
        if (parts.suspectRequests().suspicion(held.fingerprint()) == Suspicion.QUARANTINED) {
            refuse(RefusalReason.QUARANTINED, Optional.empty());
            return;
        }
        deadlineTimer = schedule(held.deadline(), DEADLINE_GRACE, this::expire);
        parts.retryBudgets().apply(held.service()).deposit();
        held.metadata().work().ifPresent(work -> parts.pool().recordDemand(held.service(), work));
        rate.admit(this::find, this::refuseRate);
    }

    private ScheduledFuture<?> schedule(Deadline deadline, Duration grace, Runnable task) {
        long nanos = deadline.remainingNanos(parts.clock().nanoTime()) + grace.toNanos();
        return parts.eventLoop().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    private void refuseRate(RateShares.Shortage shortage) {
        held.workspace()
                .ifPresent(workspace ->
                        log.rateSpent(held.rateTokens(), parts.rateShares().describe(workspace)));
        refuse(RefusalReason.RATE_SPENT, Optional.of(shortage.retryAfter()));
    }

    private void find() {
        Optional<EngineWork> work = held.metadata().work();
        if (work.isEmpty() || held.engines().isEmpty()) {
            local.search();
            return;
        }
        SlotClient.PriorAttempts servers = new SlotClient.PriorAttempts(tried, absentAt, goneServers);
        parts.slotClient().request(held, work.get(), servers, answer -> {
            if (hasEnded) {
                return;
            }
            if (answer.isPresent()) {
                placed(answer.get());
            } else {
                local.search();
            }
        });
    }

    private void placed(SlotAnswer answer) {
        Duration comeBack = Duration.ofMillis(answer.getComeBackMillis());
        log.slotAnswered(answer);
        switch (answer.getOutcome()) {
            case CHOSEN -> {
                Optional<BackendServer> server = parts.pool().find(answer.getServer(), answer.getIncarnation());
                if (server.isPresent()) {
                    send(new ServerSelector.Choice(server.get(), answer.getExpectedMillis(), answer.getUnreadTokens()));
                } else {
                    log.unknownServer(answer.getServer());
                    local.search();
                }
            }
            case AGAIN -> find();
            case NO_SERVER -> giveUp(RefusalReason.NO_SERVER, comeBack);
            case NO_MODEL -> giveUp(RefusalReason.MODEL_ABSENT, comeBack);
            case CROWDED -> giveUp(RefusalReason.NO_CAPACITY, comeBack);
            default -> giveUp(RefusalReason.REFUSED_BY_SERVERS, comeBack);
        }
    }

    private void send(ServerSelector.Choice chosen) {
        tried.add(chosen.server().name());
        Attempt attempt = new Attempt(chosen);
        current = Optional.of(attempt);
        parts.connections().connect(chosen.server(), attempt);
    }

    private long remainingMillis() {
        return held.deadline().remainingMillis(parts.clock().nanoTime());
    }

    private HttpRequest forwarded(BackendServer server) {
        DispatchMetadata dispatch = new DispatchMetadata(
                server.name(),
                held.workspace().map(PublishedWorkspace::name),
                Math.max(1, remainingMillis()),
                held.metadata().work().isPresent() ? OptionalInt.of(held.urgency()) : OptionalInt.empty(),
                scanner.lastEventIdentity().or(() -> held.metadata().lastEventIdentity()));
        HttpHeaders headers = parts.protocol().forwardedHeaders(held.request().headers(), dispatch);
        HttpMethod method = HttpMethod.valueOf(held.request().method().name());
        if (held.body().length > 0 || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, held.body().length);
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, method, held.request().uri(), headers);
    }

    /** Sends the request to the server that this VM chose, or gives it up. */
    private final class LocalOutcome implements LocalSearch.Listener {
        @Override
        public void onChosen(ServerSelector.Choice chosen) {
            send(chosen);
        }

        @Override
        public void onNotFound(RefusalReason reason) {
            giveUp(reason, SOON);
        }
    }

    /** One sending to one server. */
    private final class Attempt implements ServerConnectionPool.ConnectListener, ServerConnection.Listener {
        private final ServerSelector.Choice chosen;
        private final BackendServer server;
        private Optional<ServerConnection> connection = Optional.empty();
        private Optional<ServerPool.InFlightRequest> flight = Optional.empty();
        private Optional<HttpResponse> head = Optional.empty();
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private boolean isStream;
        private boolean isOver;

        Attempt(ServerSelector.Choice chosen) {
            this.chosen = chosen;
            this.server = chosen.server();
        }

        @Override
        public void onConnected(ServerConnection opened) {
            if (isOver) {
                opened.close();
                return;
            }
            if (!parts.pool().isCurrent(server)) {
                opened.close();
                isOver = true;
                log.skipped(server, "left or restarted before the send");
                find();
                return;
            }
            connection = Optional.of(opened);
            sends++;
            runs++;
            flight = Optional.of(parts.pool()
                    .recordStart(chosen, held.engines(), held.metadata().work()));
            log.sent(chosen, sends, opened.isReused(), scanner.lastEventIdentity());
            opened.send(forwarded(server), held.body(), this);
        }

        @Override
        public void onUnreachable(String reason, boolean isRefused) {
            if (isOver) {
                return;
            }
            isOver = true;
            if (isRefused) {
                gone();
            }
            parts.pool()
                    .recordStart(chosen, held.engines(), held.metadata().work())
                    .recordFailure();
            log.failed(server, "unreachable: " + reason, 0);
            retry(RefusalReason.NO_CAPACITY, true);
        }

        @Override
        public void onHead(HttpResponse response) {
            CallerProtocol.ResponseMetadata answer =
                    parts.protocol().parseResponse(response.status().code(), response.headers());
            boolean isOwn = answer.requestIdentity().isEmpty()
                    ? answer.notRun()
                    : answer.requestIdentity().equals(held.metadata().requestIdentity());
            if (!isOwn) {
                abandon();
                lost("answer of another request");
                return;
            }
            if (answer.notRun()) {
                rejected(response, answer);
                return;
            }
            head = Optional.of(response);
            boolean isSuccess = response.status().codeClass() == HttpStatusClass.SUCCESS;
            isStream = isSuccess && held.route().repeatability().isStream();
            if (!isStream && relay.hasBegun()) {
                abandon();
                lost("status " + response.status().code() + " to a resumed stream");
                return;
            }
            if (!isStream) {
                body = Unpooled.buffer();
            }
        }

        private void rejected(HttpResponse response, CallerProtocol.ResponseMetadata answer) {
            int status = response.status().code();
            runs--;
            isOver = true;
            flight.ifPresent(ServerPool.InFlightRequest::recordEnd);
            log.rejected(server, status);
            boolean isElsewhere = answer.respondingServer()
                    .filter(name -> !name.equals(server.name()))
                    .isPresent();
            if (isElsewhere) {
                gone();
            } else if (status == MISDIRECTED && held.metadata().work().isPresent()) {
                parts.pool().recordMissingModel(server, held.metadata().work().get());
                tried.remove(server.name());
                absentAt.add(server.name());
            }
            retry(RefusalReason.REFUSED_BY_SERVERS, true);
        }

        private void gone() {
            flight.ifPresent(ServerPool.InFlightRequest::recordFailure);
            parts.pool().markGone(server);
            goneServers.add(server.name());
        }

        private void giveUp() {
            flight.filter(ServerPool.InFlightRequest::isOverdue).ifPresent(silent -> {
                log.failed(server, "no answer", ageMillis());
                silent.recordFailure();
            });
            abandon();
        }

        /** Ends this attempt's hold of its connection. */
        private void abandon() {
            isOver = true;
            connection.ifPresent(ServerConnection::close);
            flight.ifPresent(ServerPool.InFlightRequest::recordEnd);
        }

        @Override
        public void onContent(ByteBuf bytes) {
            if (isOver || head.isEmpty()) {
                return;
            }
            flight.ifPresent(present -> present.recordResponse(held.service()));
            if (isStream) {
                streamContent(bytes);
                return;
            }
            body.writeBytes(bytes);
            if (body.readableBytes() > MOST_HELD_BYTES) {
                isStream = true;
                relay.sendPart(head.get(), body, length());
                body = Unpooled.EMPTY_BUFFER;
            }
        }

        private Optional<String> length() {
            return Optional.ofNullable(head.get().headers().get(HttpHeaderNames.CONTENT_LENGTH));
        }

        private void streamContent(ByteBuf bytes) {
            boolean isResumable = held.route().repeatability() == Repeatability.RESUMABLE_STREAM;
            ByteBuf passed = held.route().repeatability().isStream() ? scanner.append(bytes) : bytes;
            if (!passed.isReadable()) {
                return;
            }
            if (firstHead.isEmpty()) {
                firstHead = head;
            }
            log.streamEvent();
            relay.sendPart(firstHead.get(), passed, isResumable ? Optional.empty() : length());
            if (relay.isWriteQueueFull()) {
                connection.ifPresent(present -> present.setReading(false));
                relay.onDrained(() -> connection.ifPresent(present -> present.setReading(true)));
            }
        }

        @Override
        public void onEnd() {
            if (isOver) {
                return;
            }
            isOver = true;
            flight.ifPresent(present -> present.recordResponse(held.service()));
            flight.ifPresent(ServerPool.InFlightRequest::recordEnd);
            int status = head.get().status().code();
            parts.metrics().recordAttempt(held.service(), Integer.toString(status), ageMillis());
            if (isStream) {
                endStream();
            } else if (status >= FIRST_SERVER_ERROR && mayRepeat() && !isOutOfTime()) {
                flight.ifPresent(ServerPool.InFlightRequest::recordFailure);
                log.failed(server, "status " + status, ageMillis());
                HttpResponse kept = head.get();
                ByteBuf keptBody = body;
                retryOr(() -> finishWhole(kept, keptBody));
            } else {
                if (status >= FIRST_SERVER_ERROR) {
                    flight.ifPresent(ServerPool.InFlightRequest::recordFailure);
                }
                finishWhole(head.get(), body);
            }
        }

        private void endStream() {
            if (scanner.hasPartialEvent()) {
                lost("stream ended within an event");
                return;
            }
            if (!relay.hasBegun()) {
                relay.sendPart(head.get(), Unpooled.EMPTY_BUFFER, Optional.empty());
            }
            relay.end();
            finish("answered", head.get().status().code());
        }

        @Override
        public void onFailure(String reason) {
            if (isOver) {
                return;
            }
            isOver = true;
            flight.ifPresent(ServerPool.InFlightRequest::recordFailure);
            parts.suspectRequests().reportConnectionLoss(held.fingerprint(), server);
            lost(reason);
        }

        private void lost(String reason) {
            log.failed(server, reason, ageMillis());
            parts.metrics().recordAttempt(held.service(), "lost", ageMillis());
            scanner.discardPartialEvent();
            if (relay.hasBegun() && !(isStream && held.route().repeatability() == Repeatability.RESUMABLE_STREAM)) {
                cut("answer broken off");
                return;
            }
            retry(RefusalReason.ANSWER_LOST, false);
        }

        private long ageMillis() {
            return flight.map(ServerPool.InFlightRequest::ageMillis).orElse(0L);
        }
    }

    private boolean mayRepeat() {
        return held.route().repeatability().isRepeatable();
    }

    private boolean isOutOfTime() {
        return held.deadline().hasPassed(parts.clock().nanoTime());
    }

    private void retryOr(Runnable otherwise) {
        boolean isAllowed = sends < MOST_SENDS && runs < held.route().maxAttempts();
        if (isAllowed && parts.retryBudgets().apply(held.service()).tryWithdraw()) {
            find();
        } else {
            otherwise.run();
        }
    }

    /** Sends the request to another server, or gives it up. */
    private void retry(RefusalReason reason, boolean isUnrun) {
        if (hasEnded) {
            return;
        }
        boolean isSafe = isUnrun && runs == 0 || mayRepeat();
        boolean isReached = sends > 0;
        boolean isAllowed = isSafe
                && !isOutOfTime()
                && sends < MOST_SENDS
                && runs < held.route().maxAttempts()
                && parts.suspectRequests().suspicion(held.fingerprint()) != Suspicion.QUARANTINED;
        if (isAllowed
                && (!isReached || parts.retryBudgets().apply(held.service()).tryWithdraw())) {
            find();
        } else {
            giveUp(reason, SOON);
        }
    }

    private void giveUp(RefusalReason reason, Duration comeBack) {
        if (hasEnded) {
            return;
        }
        if (relay.hasBegun()) {
            cut(reason.code());
        } else if (runs > 0) {
            refuse(RefusalReason.ANSWER_LOST, Optional.empty());
        } else {
            refuse(reason, Optional.of(comeBack));
        }
    }

    /** Refuses the request if it was sent to no server. */
    void stopIfUnsent(Duration comeBack) {
        if (runs == 0 && !relay.hasBegun()) {
            stop(comeBack);
        }
    }

    /** Ends the request with what is true now. */
    void stop(Duration comeBack) {
        giveUp(RefusalReason.STOPPING, comeBack);
    }

    private void refuse(RefusalReason reason, Optional<Duration> comeBack) {
        if (!hasEnded) {
            Refusals.respond(held.request(), reason, comeBack);
            finish(reason.code(), reason.status());
        }
    }

    private void cut(String reason) {
        finish("cut: " + reason, 0);
        relay.abort();
    }

    private void finishWhole(HttpResponse head, ByteBuf body) {
        relay.sendComplete(head, body);
        finish("answered", head.status().code());
    }

    private void expire() {
        if (hasEnded) {
            return;
        }
        if (relay.hasBegun()) {
            cut("deadline");
        } else if (runs > 0) {
            refuse(RefusalReason.EXPIRED, Optional.empty());
        } else {
            refuse(RefusalReason.EXPIRED_UNSENT, Optional.empty());
        }
    }

    private void callerLeft() {
        if (!hasEnded) {
            finish("caller-left", 0);
        }
    }

    private void finish(String outcome, int status) {
        hasEnded = true;
        local.stop();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        rate.close(runs > 0);
        current.filter(attempt -> !attempt.isOver).ifPresent(Attempt::giveUp);
        log.ended(outcome, status, sends, scanner.eventCount());
        parts.metrics()
                .recordRequest(held.route().name(), outcome, (parts.clock().nanoTime() - held.arrivedAtNanos()) / 1e6);
        ended.accept(this);
    }
}
