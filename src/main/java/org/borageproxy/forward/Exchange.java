package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.util.concurrent.ScheduledFuture;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.stream.EventSequence;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;

/**
 * Lifecycle of one request, from its arrival to the last byte of its answer: selects a server, sends the request,
 * retries where that is safe and the retry budget permits, and relays the answer. A request is refused as not run only
 * if no server can have started it. Not thread safe; confined to one event loop.
 */
final class Exchange {

    /** Largest answer that is buffered until it is complete; a buffered answer can still be replaced by a retry. */
    private static final int MAX_BUFFERED_BYTES = 512 << 10;
    /** Retry-after time of refusals whose cause is short-lived. */
    private static final Duration DEFAULT_RETRY_AFTER = Duration.ofMillis(300);
    /** Time for an answer that the server sends at the deadline to arrive. */
    private static final Duration DEADLINE_GRACE = Duration.ofMillis(40);

    private static final int MISDIRECTED_REQUEST = 421;
    private static final int FIRST_SERVER_ERROR = 500;

    private final ForwardContext context;
    private final BufferedRequest buffered;
    private final RequestLog log;
    private final RequestAdmission admission;
    private final Consumer<Exchange> endListener;
    private final BiConsumer<Exchange, StreamOrigin> otherService;
    private final ResponseRelay relay;
    private final PriorAttempts priorAttempts = new PriorAttempts();
    private final EventSequence events;
    private final EventRelay eventRelay;
    private final LocalSearch localSearch;
    private final ResumableStream stream;
    private final CrashEvidence crashEvidence;
    private ScheduledFuture<?> deadlineTimer;
    private Optional<Attempt> currentAttempt = Optional.empty();
    private boolean hasEnded;

    /**
     * Creates an exchange that has not begun.
     *
     * @param context the collaborators of forwarding
     * @param buffered the request, in the service that was drawn
     * @param endListener called at the end
     * @param otherService called instead for a stream that another service began; continues the request there
     */
    Exchange(
            ForwardContext context,
            BufferedRequest buffered,
            Consumer<Exchange> endListener,
            BiConsumer<Exchange, StreamOrigin> otherService) {
        this.context = context;
        this.buffered = buffered;
        this.endListener = endListener;
        this.otherService = otherService;
        this.log = new RequestLog(buffered, context.clock());
        this.relay = new ResponseRelay(buffered.request(), new CallerWrites(context, buffered, log));
        this.crashEvidence = new CrashEvidence(context.suspectRequests(), buffered.suspects(), context.clock());
        this.stream = new ResumableStream(context, buffered, log);
        this.eventRelay = new EventRelay(buffered, stream, relay);
        this.events = eventRelay.events();
        this.admission = new RequestAdmission(context, buffered, log, stream, crashEvidence, new AdmissionListener());
        this.localSearch = new LocalSearch(
                context,
                buffered,
                log,
                priorAttempts.triedServers(),
                stream::origin,
                choice -> send(choice, Optional.empty()),
                reason -> refuseOrAbort(reason, DEFAULT_RETRY_AFTER));
    }

    /** Refuses the request or begins its admission, unless it was refused by a shutdown before. */
    void start() {
        if (hasEnded) {
            return;
        }
        buffered.request().response().closeHandler(closed -> handleCallerLeft());
        buffered.request().response().exceptionHandler(failure -> handleCallerLeft());
        buffered.reservation()
                .allowEviction(shortage -> refuseOrAbort(RefusalReason.BUFFER_FULL, log.evicted(shortage)));
        if (buffered.deadline().hasPassed(context.clock().nanoTime())) {
            refuse(RefusalReason.EXPIRED_UNSENT, Optional.empty());
            return;
        }
        long expiryNanos = buffered.deadline().remainingNanos(context.clock().nanoTime()) + DEADLINE_GRACE.toNanos();
        deadlineTimer = context.eventLoop().schedule(this::expire, expiryNanos, TimeUnit.NANOSECONDS);
        admission.begin();
    }

    /**
     * Starts an exchange that takes up a stream.
     *
     * @param origin what began the stream, in the service of the request
     */
    void start(StreamOrigin origin) {
        stream.recordOrigin(origin);
        start();
    }

    private final class AdmissionListener implements RequestAdmission.Listener {
        @Override
        public void onAdmitted() {
            findServer();
        }

        @Override
        public void onRefused(RefusalReason reason, Optional<Duration> retryAfter) {
            refuse(reason, retryAfter);
        }

        @Override
        public void onOtherService(StreamOrigin origin) {
            hasEnded = true;
            deadlineTimer.cancel(false);
            admission.close(false);
            otherService.accept(Exchange.this, origin);
        }
    }

    private void findServer() {
        if (SendConditions.stopObstacle(context, buffered, priorAttempts).isPresent()) {
            stop();
            return;
        }
        boolean needsSlot =
                buffered.inferenceWork().isPresent() || context.pool().needsCoordinator(buffered.service());
        if (!needsSlot || !priorAttempts.mayAskForSlot()) {
            localSearch.search();
            return;
        }
        Set<BackendServerName> excluded = context.unusable(buffered.allowedRegions());
        excluded.addAll(priorAttempts.triedServers());
        context.slotClient().request(buffered, priorAttempts, excluded, stream.origin(), (answer, slotValidUntil) -> {
            if (!hasEnded) {
                answer.ifPresentOrElse(slot -> handleSlotAnswer(slot, slotValidUntil), localSearch::search);
            }
        });
    }

    private void handleSlotAnswer(SlotAnswer answer, Deadline slotValidUntil) {
        Duration retryAfter = Duration.ofMillis(answer.getComeBackMillis());
        log.slotAnswered(answer);
        switch (answer.getOutcome()) {
            case CHOSEN -> {
                Optional<BackendServer> server = context.pool().find(answer.getServer(), answer.getIncarnation());
                if (server.isPresent()) {
                    send(SlotClient.choice(answer, server.get()), Optional.of(slotValidUntil));
                } else {
                    log.unknownServer(answer.getServer());
                    localSearch.search();
                }
            }
            case AGAIN -> findServer();
            case NO_SERVER -> refuseOrAbort(RefusalReason.NO_SERVER, retryAfter);
            case NO_MODEL -> refuseOrAbort(RefusalReason.MODEL_ABSENT, retryAfter);
            case CROWDED -> refuseOrAbort(RefusalReason.NO_CAPACITY, retryAfter);
            default -> refuseOrAbort(RefusalReason.REFUSED_BY_SERVERS, retryAfter);
        }
    }

    private void send(ServerSelector.Choice choice, Optional<Deadline> slotValidUntil) {
        priorAttempts.recordTried(choice.server().name());
        if (context.refusals().refusedUntil(choice.server()).isPresent()) {
            log.skipped(choice.server(), "server refused the VM before the request was sent");
            findServer();
            return;
        }
        // Timers and the caller's connection may refer to an earlier attempt for long.
        currentAttempt.ifPresent(earlier -> earlier.received.discardBody());
        Attempt attempt = new Attempt(choice, slotValidUntil);
        currentAttempt = Optional.of(attempt);
        context.connections().connect(choice.server(), priorAttempts::mayUse, attempt);
    }

    /** One attempt to run the request on one server. */
    private final class Attempt implements ServerConnectionPool.ConnectListener, ServerConnection.Listener {
        private final ServerSelector.Choice choice;
        private final BackendServer server;
        /** The end of the slot that the coordinator granted for the attempt; empty if this VM selected the server. */
        private final Optional<Deadline> slotValidUntil;

        private Optional<ServerConnection> connection = Optional.empty();
        private Optional<InFlightRequest> inFlightRequest = Optional.empty();
        private final ReceivedAnswer received = new ReceivedAnswer(buffered.reservation());
        /** Whether the body is passed on as it arrives. */
        private boolean isStream;
        /** Whether the body is passed on event by event. */
        private boolean isEventStream;

        private boolean isOver;

        Attempt(ServerSelector.Choice choice, Optional<Deadline> slotValidUntil) {
            this.choice = choice;
            this.slotValidUntil = slotValidUntil;
            this.server = choice.server();
        }

        @Override
        public void onConnected(ServerConnection acquired) {
            if (isOver) {
                acquired.close();
                return;
            }
            Optional<String> obstacle = SendConditions.obstacle(context, buffered, stream, server, acquired.relay())
                    .or(crashEvidence::obstacle)
                    .or(() -> SendConditions.stopObstacle(context, buffered, priorAttempts))
                    .or(() -> SendConditions.slotObstacle(context, server, slotValidUntil, priorAttempts));
            if (obstacle.isPresent()) {
                acquired.close();
                isOver = true;
                log.skipped(server, obstacle.get());
                if (crashEvidence.isQuarantined()) {
                    refuseOrAbort(RefusalReason.QUARANTINED, DEFAULT_RETRY_AFTER);
                } else {
                    findServer();
                }
                return;
            }
            connection = Optional.of(acquired);
            crashEvidence.recordAttempt();
            priorAttempts.recordSent(acquired);
            inFlightRequest = Optional.of(context.pool()
                    .recordStart(
                            choice,
                            buffered.engines(),
                            buffered.metadata().work(),
                            buffered.body().length()));
            log.sent(choice, priorAttempts.sends(), acquired.isReused(), events.lastEventIdentity());
            ServerWrites.send(context, buffered, server, acquired, events.lastEventIdentity(), this);
        }

        @Override
        public void onUnreachable(String reason, boolean isRefused) {
            if (isOver) {
                return;
            }
            isOver = true;
            if (isRefused) {
                markServerGone();
            }
            if (isServerToBlame()) {
                context.pool()
                        .recordStart(
                                choice, buffered.engines(), buffered.metadata().work(), 0)
                        .recordFailure();
            }
            log.failed(server, "unreachable: " + reason, 0, 0);
            retry(RefusalReason.NO_CAPACITY, true);
        }

        @Override
        public void onHead(HttpResponse response) {
            CallerProtocol.ResponseMetadata answer =
                    context.protocol().parseResponse(response.status().code(), response.headers());
            boolean acceptsNoIdentity =
                    answer.notRun() && !connection.orElseThrow().isReused();
            Optional<String> obstacle = answer.origin()
                    .obstacle(response.status().code(), buffered.metadata().requestIdentity(), acceptsNoIdentity);
            if (obstacle.isPresent()) {
                closeConnection();
                handleLostAnswer(obstacle.get());
                return;
            }
            long sentAtNanos = inFlightRequest.orElseThrow().startedAtNanos();
            if (answer.respondingServer().isEmpty()) {
                answer.statement()
                        .ifPresent(
                                statement -> context.pool().statements().recordAnswer(server, statement, sentAtNanos));
                answer.retryAfter().ifPresent(time -> context.refusals().recordAnswer(server, answeredVm(), time));
            }
            if (answer.isLeaving()) {
                context.refusals().recordLeaving(server, answeredVm());
            }
            if (answer.notRun()) {
                handleNotRun(response, answer);
                return;
            }
            received.setHead(response);
            EventSequence.Kind kind = eventRelay.begin(response);
            isEventStream = kind == EventSequence.Kind.EVENTS;
            isStream = isEventStream;
            if (kind == EventSequence.Kind.FOREIGN) {
                rejectAnswer(EventRelay.describeForeign(response));
            }
        }

        private void rejectAnswer(String reason) {
            inFlightRequest.ifPresent(InFlightRequest::recordFailure);
            closeConnection();
            handleLostAnswer(reason);
        }

        private void handleNotRun(HttpResponse response, CallerProtocol.ResponseMetadata answer) {
            int status = response.status().code();
            priorAttempts.recordNotRun();
            isOver = true;
            boolean isOverloaded =
                    status != MISDIRECTED_REQUEST && context.pool().statements().isBrittle(server);
            inFlightRequest.ifPresent(isOverloaded ? InFlightRequest::recordFailure : InFlightRequest::recordEnd);
            log.rejected(server, status, answer.retryAfter(), answeredVm(), slotValidUntil.isPresent());
            boolean isOtherServer = answer.respondingServer()
                    .filter(name -> !name.equals(server.name()))
                    .isPresent();
            if (isOtherServer) {
                markServerGone();
            } else if (status == MISDIRECTED_REQUEST
                    && buffered.metadata().work().isPresent()) {
                context.pool()
                        .recordMissingModel(server, buffered.metadata().work().get());
                priorAttempts.recordWithoutModel(server.name());
            }
            retry(RefusalReason.REFUSED_BY_SERVERS, true);
        }

        /** Returns the VM that the server answers; empty for this one. */
        private Optional<VmName> answeredVm() {
            return connection.flatMap(ServerConnection::relay);
        }

        private void markServerGone() {
            inFlightRequest.ifPresent(InFlightRequest::recordFailure);
            context.pool().markGone(server);
            priorAttempts.recordGone(server.name());
        }

        private void cancel() {
            inFlightRequest
                    .filter(each -> each.isOverdue() && isServerToBlame())
                    .ifPresent(overdue -> {
                        log.failed(
                                server,
                                "no answer within several times the expected time",
                                ageMillis(),
                                received.receivedBytes());
                        overdue.recordFailure();
                    });
            closeConnection();
        }

        private void closeConnection() {
            isOver = true;
            connection.ifPresent(ServerConnection::close);
            inFlightRequest.ifPresent(InFlightRequest::recordEnd);
        }

        @Override
        public void onContent(ByteBuf bytes) {
            if (isOver || received.head().isEmpty()) {
                return;
            }
            received.count(bytes);
            if (isEventStream) {
                // Before the response is recorded, which may report to the coordinator what began the stream.
                if (eventRelay.relayEvents(bytes, received, server)) {
                    recordRelayed();
                }
                if (events.fault().isPresent()) {
                    rejectAnswer(events.fault().get());
                    return;
                }
            } else if (isStream) {
                eventRelay.relayPart(bytes, received);
                recordRelayed();
            }
            inFlightRequest.ifPresent(present -> present.recordResponse(buffered.service(), received.isSuccess()));
            if (isStream) {
                return;
            }
            if (!received.keep(bytes) || received.keptBytes() > MAX_BUFFERED_BYTES) {
                isStream = true;
                relay.sendPart(received.head().get(), received.takeBody(), received.length());
            }
        }

        private void recordRelayed() {
            log.streamEvent();
            crashEvidence.recordEvent();
            boolean isCallerSlow = relay.isWriteQueueFull();
            inFlightRequest.ifPresent(present -> present.recordEvents(events.eventCount(), isCallerSlow));
            if (isCallerSlow) {
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
            inFlightRequest.ifPresent(present -> present.recordResponse(buffered.service(), received.isSuccess()));
            inFlightRequest.ifPresent(InFlightRequest::recordEnd);
            int status = received.status();
            Optional<String> fault = isEventStream ? events.endFault(received.isUnframed()) : Optional.empty();
            if (fault.isPresent()) {
                if (received.isUnframed() || events.hasPartialEvent()) {
                    recordCrashSuspicion();
                }
                handleLostAnswer(fault.get());
                return;
            }
            if (received.isSuccess()) {
                crashEvidence.recordSuccess();
            }
            context.metrics().recordAttempt(buffered.service(), Integer.toString(status), ageMillis());
            if (isStream) {
                eventRelay.end(received);
                finish("answered", status);
            } else if (status >= FIRST_SERVER_ERROR && mayRepeat() && !isExpired()) {
                inFlightRequest.ifPresent(InFlightRequest::recordFailure);
                log.failed(server, "status " + status, ageMillis(), received.receivedBytes());
                retryOrElse(true, () -> sendCompleteAnswer(received));
            } else {
                if (status >= FIRST_SERVER_ERROR) {
                    inFlightRequest.ifPresent(InFlightRequest::recordFailure);
                }
                sendCompleteAnswer(received);
            }
        }

        /** A lost connection says nothing about the server if the links of this VM are lost. */
        private boolean isServerToBlame() {
            return !context.connections().links().areLost() || answeredVm().isPresent();
        }

        private void recordCrashSuspicion() {
            if (!isServerToBlame()) {
                inFlightRequest.ifPresent(InFlightRequest::recordEnd);
                return;
            }
            inFlightRequest.ifPresent(InFlightRequest::recordFailure);
            crashEvidence.recordConnectionLoss(server);
        }

        @Override
        public void onFailure(String reason) {
            if (isOver) {
                return;
            }
            isOver = true;
            recordCrashSuspicion();
            handleLostAnswer(reason);
        }

        @Override
        public void onLinksLost() {
            if (!isOver && mayRepeat()) {
                closeConnection();
                handleLostAnswer("links of this VM to the servers are lost");
            }
        }

        private void handleLostAnswer(String reason) {
            log.failed(server, reason, ageMillis(), received.receivedBytes());
            context.metrics().recordAttempt(buffered.service(), "lost", ageMillis());
            events.discardPending();
            if (!eventRelay.canContinue()) {
                abortStream("answer broken off");
                return;
            }
            retry(RefusalReason.ANSWER_LOST, false);
        }

        private long ageMillis() {
            return inFlightRequest.map(InFlightRequest::ageMillis).orElse(0L);
        }
    }

    private boolean mayRepeat() {
        return buffered.route().repeatability().isRepeatable();
    }

    private boolean isExpired() {
        return buffered.deadline().hasPassed(context.clock().nanoTime());
    }

    /** Sends the request to another server if that is safe and permitted; refuses or aborts it otherwise. */
    private void retry(RefusalReason reason, boolean isNotRun) {
        if (!hasEnded) {
            boolean isSafe = isNotRun && !priorAttempts.mayHaveRun() || mayRepeat();
            retryOrElse(isSafe, () -> refuseOrAbort(reason, DEFAULT_RETRY_AFTER));
        }
    }

    private void retryOrElse(boolean isSafe, Runnable fallback) {
        Optional<String> obstacle = isSafe
                ? SendConditions.retryObstacle(context, buffered, priorAttempts, crashEvidence)
                : Optional.of("may have run");
        if (obstacle.isEmpty()) {
            findServer();
        } else {
            log.notRetried(obstacle.get());
            fallback.run();
        }
    }

    private void refuseOrAbort(RefusalReason reason, Duration retryAfter) {
        if (hasEnded) {
            return;
        }
        if (relay.hasBegun()) {
            abortStream(reason.code());
        } else if (priorAttempts.mayHaveRun()) {
            refuse(RefusalReason.ANSWER_LOST, Optional.empty());
        } else {
            refuse(reason, Optional.of(reason == RefusalReason.REFUSED_BY_SERVERS ? acceptedAfter() : retryAfter));
        }
    }

    private Duration acceptedAfter() {
        return context.acceptedAfter(buffered.requirement(Set.of(), stream.origin()))
                .orElse(DEFAULT_RETRY_AFTER);
    }

    /** Ends the request if no server can have started it; limits the time in which it may be sent again otherwise. */
    void beginStop(Deadline answersEnd) {
        priorAttempts.beginStop(answersEnd);
        if (!priorAttempts.mayHaveRun()) {
            stop();
        }
    }

    /** Refuses the request, or aborts its answer if that has begun. */
    void stop() {
        refuseOrAbort(RefusalReason.STOPPING, Refusals.STOPPING_RETRY_AFTER);
    }

    private void refuse(RefusalReason reason, Optional<Duration> retryAfter) {
        if (!hasEnded) {
            context.pool().demand().recordRefusal(buffered, reason);
            Refusals.respond(buffered.request(), reason, retryAfter);
            finish(reason.code(), reason.status());
        }
    }

    private void abortStream(String reason) {
        finish("cut: " + reason, 0);
        relay.abort();
    }

    private void sendCompleteAnswer(ReceivedAnswer answer) {
        relay.sendComplete(answer.head().orElseThrow(), answer.takeBody());
        finish("answered", answer.status());
    }

    private void expire() {
        if (hasEnded) {
            return;
        }
        if (relay.hasBegun()) {
            abortStream("deadline");
        } else {
            refuse(priorAttempts.mayHaveRun() ? RefusalReason.EXPIRED : RefusalReason.EXPIRED_UNSENT, Optional.empty());
        }
    }

    /** Ends the request without an answer, unless it has ended. */
    void handleCallerLeft() {
        if (!hasEnded) {
            finish("caller-left", 0);
        }
    }

    private void finish(String outcome, int status) {
        hasEnded = true;
        localSearch.stop();
        if (deadlineTimer != null) {
            deadlineTimer.cancel(false);
        }
        admission.close(priorAttempts.mayHaveRun());
        currentAttempt.filter(attempt -> !attempt.isOver).ifPresent(Attempt::cancel);
        log.ended(outcome, status, priorAttempts.sends(), events.eventCount());
        context.metrics()
                .recordRequest(
                        buffered.route().name(),
                        outcome,
                        (context.clock().nanoTime() - buffered.arrivedAtNanos()) / 1e6);
        currentAttempt.ifPresent(attempt -> attempt.received.discardBody());
        relay.releaseBuffers();
        endListener.accept(this);
    }
}
