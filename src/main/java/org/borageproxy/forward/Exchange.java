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
import org.borageproxy.routing.ServerChoice;
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

    private final ForwardParts parts;
    private final HeldRequest held;
    private final RequestLog log;
    private final RateAdmission rate;
    private final Consumer<Exchange> ended;
    private final AnswerRelay relay;
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

    Exchange(ForwardParts parts, HeldRequest held, Consumer<Exchange> ended) {
        this.parts = parts;
        this.held = held;
        this.ended = ended;
        this.relay = new AnswerRelay(held.request().response());
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
        if (parts.suspects().suspicion(held.fingerprint()) == Suspicion.QUARANTINED) {
            refuse(RefusalReason.QUARANTINED, Optional.empty());
            return;
        }
        deadlineTimer = schedule(held.deadline(), DEADLINE_GRACE, this::expire);
        parts.budgets().apply(held.service()).deposit();
        held.fields().work().ifPresent(work -> parts.pool().asked(held.service(), work));
        rate.request(this::find, this::refuseRate);
    }

    private ScheduledFuture<?> schedule(Deadline deadline, Duration grace, Runnable task) {
        long nanos = deadline.remainingNanos(parts.clock().nanoTime()) + grace.toNanos();
        return parts.eventLoop().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    private void refuseRate(RateShares.Shortage shortage) {
        held.workspace()
                .ifPresent(workspace ->
                        log.rateSpent(held.rateTokens(), parts.rates().describe(workspace)));
        refuse(RefusalReason.RATE_SPENT, Optional.of(shortage.time()));
    }

    private void find() {
        Optional<EngineWork> work = held.fields().work();
        if (work.isEmpty() || held.engines().isEmpty()) {
            local.look();
            return;
        }
        SlotClient.Tried servers = new SlotClient.Tried(tried, absentAt, goneServers);
        parts.slots().request(held, work.get(), servers, answer -> {
            if (hasEnded) {
                return;
            }
            if (answer.isPresent()) {
                placed(answer.get());
            } else {
                local.look();
            }
        });
    }

    private void placed(SlotAnswer answer) {
        Duration comeBack = Duration.ofMillis(answer.getComeBackMillis());
        log.placed(answer);
        switch (answer.getOutcome()) {
            case CHOSEN -> {
                Optional<BackendServer> server = parts.pool().find(answer.getServer(), answer.getIncarnation());
                if (server.isPresent()) {
                    send(new ServerChoice.Chosen(server.get(), answer.getExpectedMillis(), answer.getUnreadTokens()));
                } else {
                    log.unknownPlace(answer.getServer());
                    local.look();
                }
            }
            case AGAIN -> find();
            case NO_SERVER -> giveUp(RefusalReason.NO_SERVER, comeBack);
            case NO_MODEL -> giveUp(RefusalReason.MODEL_ABSENT, comeBack);
            case CROWDED -> giveUp(RefusalReason.NO_CAPACITY, comeBack);
            default -> giveUp(RefusalReason.REFUSED_BY_SERVERS, comeBack);
        }
    }

    private void send(ServerChoice.Chosen chosen) {
        tried.add(chosen.server().name());
        Attempt attempt = new Attempt(chosen);
        current = Optional.of(attempt);
        parts.connections().connect(chosen.server(), attempt);
    }

    private long remainingMillis() {
        return held.deadline().remainingMillis(parts.clock().nanoTime());
    }

    private HttpRequest forwarded(BackendServer server) {
        Dispatch dispatch = new Dispatch(
                server.name(),
                held.workspace().map(PublishedWorkspace::name),
                Math.max(1, remainingMillis()),
                held.fields().work().isPresent() ? OptionalInt.of(held.urgency()) : OptionalInt.empty(),
                scanner.lastEvent().or(() -> held.fields().lastEvent()));
        HttpHeaders headers = parts.protocol().forwarded(held.request().headers(), dispatch);
        HttpMethod method = HttpMethod.valueOf(held.request().method().name());
        if (held.body().length > 0 || method.equals(HttpMethod.POST) || method.equals(HttpMethod.PUT)) {
            headers.set(HttpHeaderNames.CONTENT_LENGTH, held.body().length);
        }
        return new DefaultHttpRequest(
                HttpVersion.HTTP_1_1, method, held.request().uri(), headers);
    }

    /** Sends the request to the server that this VM chose, or gives it up. */
    private final class LocalOutcome implements LocalSearch.Outcome {
        @Override
        public void chosen(ServerChoice.Chosen chosen) {
            send(chosen);
        }

        @Override
        public void notFound(RefusalReason reason) {
            giveUp(reason, SOON);
        }
    }

    /** One sending to one server. */
    private final class Attempt implements ServerConnections.Taker, ServerConnection.Listener {
        private final ServerChoice.Chosen chosen;
        private final BackendServer server;
        private Optional<ServerConnection> connection = Optional.empty();
        private Optional<ServerPool.Flight> flight = Optional.empty();
        private Optional<HttpResponse> head = Optional.empty();
        private ByteBuf body = Unpooled.EMPTY_BUFFER;
        private boolean isStream;
        private boolean isOver;

        Attempt(ServerChoice.Chosen chosen) {
            this.chosen = chosen;
            this.server = chosen.server();
        }

        @Override
        public void connected(ServerConnection opened) {
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
            flight = Optional.of(
                    parts.pool().started(chosen, held.engines(), held.fields().work()));
            log.sent(chosen, sends, opened.isReused(), scanner.lastEvent());
            opened.send(forwarded(server), held.body(), this);
        }

        @Override
        public void unreachable(String reason, boolean isRefused) {
            if (isOver) {
                return;
            }
            isOver = true;
            if (isRefused) {
                gone();
            }
            parts.pool().started(chosen, held.engines(), held.fields().work()).failed();
            log.failed(server, "unreachable: " + reason, 0);
            retry(RefusalReason.NO_CAPACITY, true);
        }

        @Override
        public void head(HttpResponse response) {
            CallerProtocol.ServerAnswer answer =
                    parts.protocol().answer(response.status().code(), response.headers());
            boolean isOwn = answer.identity().isEmpty()
                    ? answer.notRun()
                    : answer.identity().equals(held.fields().identity());
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

        private void rejected(HttpResponse response, CallerProtocol.ServerAnswer answer) {
            int status = response.status().code();
            runs--;
            isOver = true;
            flight.ifPresent(ServerPool.Flight::ended);
            log.rejected(server, status);
            boolean isElsewhere = answer.otherServer()
                    .filter(name -> !name.equals(server.name()))
                    .isPresent();
            if (isElsewhere) {
                gone();
            } else if (status == MISDIRECTED && held.fields().work().isPresent()) {
                parts.pool().notHeld(server, held.fields().work().get());
                tried.remove(server.name());
                absentAt.add(server.name());
            }
            retry(RefusalReason.REFUSED_BY_SERVERS, true);
        }

        private void gone() {
            flight.ifPresent(ServerPool.Flight::failed);
            parts.pool().gone(server);
            goneServers.add(server.name());
        }

        private void giveUp() {
            flight.filter(ServerPool.Flight::isSilent).ifPresent(silent -> {
                log.failed(server, "no answer", ageMillis());
                silent.failed();
            });
            abandon();
        }

        /** Ends this attempt's hold of its connection. */
        private void abandon() {
            isOver = true;
            connection.ifPresent(ServerConnection::close);
            flight.ifPresent(ServerPool.Flight::ended);
        }

        @Override
        public void content(ByteBuf bytes) {
            if (isOver || head.isEmpty()) {
                return;
            }
            flight.ifPresent(present -> present.answered(held.service()));
            if (isStream) {
                streamContent(bytes);
                return;
            }
            body.writeBytes(bytes);
            if (body.readableBytes() > MOST_HELD_BYTES) {
                isStream = true;
                relay.stream(head.get(), body, length());
                body = Unpooled.EMPTY_BUFFER;
            }
        }

        private Optional<String> length() {
            return Optional.ofNullable(head.get().headers().get(HttpHeaderNames.CONTENT_LENGTH));
        }

        private void streamContent(ByteBuf bytes) {
            boolean isResumable = held.route().repeatability() == Repeatability.RESUMABLE_STREAM;
            ByteBuf passed = held.route().repeatability().isStream() ? scanner.take(bytes) : bytes;
            if (!passed.isReadable()) {
                return;
            }
            if (firstHead.isEmpty()) {
                firstHead = head;
            }
            log.event();
            relay.stream(firstHead.get(), passed, isResumable ? Optional.empty() : length());
            if (relay.isFull()) {
                connection.ifPresent(present -> present.setReading(false));
                relay.onDrained(() -> connection.ifPresent(present -> present.setReading(true)));
            }
        }

        @Override
        public void ended() {
            if (isOver) {
                return;
            }
            isOver = true;
            flight.ifPresent(present -> present.answered(held.service()));
            flight.ifPresent(ServerPool.Flight::ended);
            int status = head.get().status().code();
            parts.metrics().attempted(held.service(), Integer.toString(status), ageMillis());
            if (isStream) {
                endStream();
            } else if (status >= FIRST_SERVER_ERROR && mayRepeat() && !isOutOfTime()) {
                flight.ifPresent(ServerPool.Flight::failed);
                log.failed(server, "status " + status, ageMillis());
                HttpResponse kept = head.get();
                ByteBuf keptBody = body;
                retryOr(() -> finishWhole(kept, keptBody));
            } else {
                if (status >= FIRST_SERVER_ERROR) {
                    flight.ifPresent(ServerPool.Flight::failed);
                }
                finishWhole(head.get(), body);
            }
        }

        private void endStream() {
            if (scanner.isWithinEvent()) {
                lost("stream ended within an event");
                return;
            }
            if (!relay.hasBegun()) {
                relay.stream(head.get(), Unpooled.EMPTY_BUFFER, Optional.empty());
            }
            relay.end();
            finish("answered", head.get().status().code());
        }

        @Override
        public void failed(String reason) {
            if (isOver) {
                return;
            }
            isOver = true;
            flight.ifPresent(ServerPool.Flight::failed);
            parts.suspects().lostDuring(held.fingerprint(), server);
            lost(reason);
        }

        private void lost(String reason) {
            log.failed(server, reason, ageMillis());
            parts.metrics().attempted(held.service(), "lost", ageMillis());
            scanner.dropUnfinished();
            if (relay.hasBegun() && !(isStream && held.route().repeatability() == Repeatability.RESUMABLE_STREAM)) {
                cut("answer broken off");
                return;
            }
            retry(RefusalReason.ANSWER_LOST, false);
        }

        private long ageMillis() {
            return flight.map(ServerPool.Flight::ageMillis).orElse(0L);
        }
    }

    private boolean mayRepeat() {
        return held.route().repeatability().isRepeatable();
    }

    private boolean isOutOfTime() {
        return held.deadline().hasPassed(parts.clock().nanoTime());
    }

    private void retryOr(Runnable otherwise) {
        boolean isAllowed = sends < MOST_SENDS && runs < held.route().mostAttempts();
        if (isAllowed && parts.budgets().apply(held.service()).withdraw()) {
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
                && runs < held.route().mostAttempts()
                && parts.suspects().suspicion(held.fingerprint()) != Suspicion.QUARANTINED;
        if (isAllowed && (!isReached || parts.budgets().apply(held.service()).withdraw())) {
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
    void stopUnsent(Duration comeBack) {
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
            Refusals.answer(held.request(), reason, comeBack);
            finish(reason.code(), reason.status());
        }
    }

    private void cut(String reason) {
        finish("cut: " + reason, 0);
        relay.cut();
    }

    private void finishWhole(HttpResponse head, ByteBuf body) {
        relay.whole(head, body);
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
        log.ended(outcome, status, sends, scanner.events());
        parts.metrics().ended(held.route().name(), outcome, (parts.clock().nanoTime() - held.arrivedAtNanos()) / 1e6);
        ended.accept(this);
    }
}
