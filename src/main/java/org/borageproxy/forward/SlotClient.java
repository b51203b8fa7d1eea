package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.EngineWork;
import org.borageproxy.routing.ServerSelector;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.MessageKind;
import org.borageproxy.wire.VmNetwork;
import org.borageproxy.wire.proto.CoordinationProtocol.PartOfPrompt;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotAnswer;
import org.borageproxy.wire.proto.CoordinationProtocol.SlotRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Requests slots at model engines, and at plain services whose servers state limits, from the coordinator. After a
 * request without an answer in time, no further request is sent to the same VM during a backoff, in which this VM
 * selects servers itself. Another coordinator is asked at once. Not thread safe; confined to one event loop.
 */
public final class SlotClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(SlotClient.class);
    /** Longest delay of an answer, plus transit time. */
    private static final Duration ANSWER_TIMEOUT = SlotBroker.MAX_ANSWER_DELAY.plusMillis(120);
    /** Time without requests to a coordinator that did not answer. */
    private static final Duration BACKOFF = Duration.ofMillis(600);

    private final VmNetwork network;
    private final Supplier<Optional<VmName>> coordinator;
    private final AvailabilityZone zone;
    private final MonotonicClock clock;
    private final Executor eventLoop;
    private Deadline backoffUntil;
    /** The VM to which the backoff applies. */
    private Optional<VmName> unanswered = Optional.empty();

    private long lastSlot;

    /** Receives the answer to a request. */
    @FunctionalInterface
    interface AnswerListener {

        /**
         * Called once for each request.
         *
         * @param answer the answer; empty if there is none, so that this VM must select the server itself
         * @param slotValidUntil the time until which a granted slot may be used; the coordinator then gives it to
         *     another request, unless this VM has reported it
         */
        void onAnswer(Optional<SlotAnswer> answer, Deadline slotValidUntil);
    }

    /**
     * Creates a client.
     *
     * @param network transport to the coordinator
     * @param coordinator supplies the coordinator; empty while it is unknown or unreachable
     * @param zone the availability zone of this VM
     * @param clock the clock
     * @param eventLoop runs all callbacks
     */
    public SlotClient(
            VmNetwork network,
            Supplier<Optional<VmName>> coordinator,
            AvailabilityZone zone,
            MonotonicClock clock,
            Executor eventLoop) {
        this.network = network;
        this.coordinator = coordinator;
        this.zone = zone;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.backoffUntil = new Deadline(clock.nanoTime());
    }

    /**
     * Returns the highest slot number that was granted to this VM.
     *
     * @return the number; zero before the first grant
     */
    public long lastSlot() {
        return lastSlot;
    }

    /**
     * Requests a slot.
     *
     * @param buffered the request
     * @param priorAttempts the results of earlier attempts
     * @param excludedServers the servers that must not be selected, those that were tried included
     * @param origin what began the stream that the request continues; empty for a request that any server can run
     * @param listener receives the answer, possibly before this method returns
     */
    void request(
            BufferedRequest buffered,
            PriorAttempts priorAttempts,
            Set<BackendServerName> excludedServers,
            Optional<StreamOrigin> origin,
            AnswerListener listener) {
        long nowNanos = clock.nanoTime();
        // The coordinator counts from the grant, which is later; the clocks of VMs cannot be compared.
        Deadline slotValidUntil = Deadline.after(nowNanos, SlotBroker.UNREPORTED_GRANT_VALIDITY);
        Optional<VmName> target = coordinator.get();
        boolean isBackoff = target.equals(unanswered) && !backoffUntil.hasPassed(nowNanos);
        if (target.isEmpty() || isBackoff) {
            listener.onAnswer(Optional.empty(), slotValidUntil);
            return;
        }
        long objectiveMillis = buffered.objectiveDeadline().remainingMillis(nowNanos);
        SlotRequest.Builder request = SlotRequest.newBuilder()
                .setZone(zone.value())
                .setService(buffered.service())
                .setRank(buffered.urgency())
                .setBodyBytes(buffered.body().length())
                .setObjectiveMillis((int) objectiveMillis)
                .setDeadlineMillis((int) buffered.deadline().remainingMillis(nowNanos));
        buffered.inferenceWork().ifPresent(work -> addWork(request, work));
        excludedServers.forEach(name -> request.addTried(name.value()));
        priorAttempts.serversWithoutModel().forEach(name -> request.addAbsentAt(name.value()));
        priorAttempts.goneServers().forEach(name -> request.addGone(name.value()));
        origin.ifPresent(known -> request.setSoftwareVersion(known.softwareVersion()));
        long waitedMillis = (nowNanos - buffered.arrivedAtNanos()) / 1_000_000L;
        request.setWaitedMillis((int) waitedMillis);
        SlotAttributes.of(buffered).addTo(request);
        network.request(
                        target.get(),
                        MessageKind.SLOT,
                        request.build().toByteString(),
                        Deadline.after(nowNanos, ANSWER_TIMEOUT))
                .whenComplete((body, failure) -> eventLoop.execute(
                        () -> listener.onAnswer(parseAnswer(target.get(), body, failure), slotValidUntil)));
    }

    private static void addWork(SlotRequest.Builder request, EngineWork work) {
        request.setModel(work.model())
                .setAdapter(work.adapter())
                .setPromptTokens(work.promptTokens())
                .setOutputTokens(work.outputTokens());
        work.promptParts()
                .forEach(part -> request.addParts(
                        PartOfPrompt.newBuilder().setIdentity(part.identity()).setTokens(part.tokens())));
    }

    private Optional<SlotAnswer> parseAnswer(VmName target, ByteString body, Throwable failure) {
        if (failure != null) {
            // A late failure of a former coordinator must not delay requests to the present one.
            if (coordinator.get().isEmpty() || coordinator.get().equals(Optional.of(target))) {
                unanswered = Optional.of(target);
                backoffUntil = Deadline.after(clock.nanoTime(), BACKOFF);
            }
            LOGGER.info("event=slot-unanswered vm={} reason=\"{}\"", target, failure.getMessage());
            return Optional.empty();
        }
        try {
            SlotAnswer answer = SlotAnswer.parseFrom(body);
            lastSlot = Math.max(lastSlot, answer.getSlot());
            boolean isFromCoordinator = answer.getOutcome() != SlotAnswer.Outcome.NOT_COORDINATOR;
            return isFromCoordinator ? Optional.of(answer) : Optional.empty();
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=slot-malformed vm={}", target);
            return Optional.empty();
        }
    }

    /**
     * Returns the selection that an answer contains.
     *
     * @param answer an answer that grants a slot
     * @param server the server that it names
     * @return the selection
     */
    static ServerSelector.Choice choice(SlotAnswer answer, BackendServer server) {
        double speed = answer.getSpeed() > 0 ? answer.getSpeed() : 1.0;
        return new ServerSelector.Choice(server, answer.getExpectedMillis(), answer.getUnreadTokens(), speed);
    }
}
