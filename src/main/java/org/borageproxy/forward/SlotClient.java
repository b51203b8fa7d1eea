package org.borageproxy.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.routing.EngineWork;
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
 * Asks the coordinator for places at model engines. A coordinator that does not answer in time is not asked for a
 * while, in which this VM chooses by itself. Used by one event loop only.
 */
public final class SlotClient {

    private static final Logger LOGGER = LoggerFactory.getLogger(SlotClient.class);
    /** The time after which a request without an answer is placed from here. */
    private static final Duration PATIENCE = SlotBroker.MAXIMUM_ANSWER_DELAY.plusMillis(120);
    /** How long a silent coordinator is not asked. */
    private static final Duration SILENCE = Duration.ofMillis(600);

    private final VmNetwork network;
    private final Supplier<Optional<VmName>> coordinator;
    private final AvailabilityZone zone;
    private final MonotonicClock clock;
    private final Executor eventLoop;
    private Deadline silentUntil;
    private long lastSlot;

    /**
     * What became of earlier attempts of a request.
     *
     * @param servers the servers that are not asked again
     * @param absentAt the servers that turned out not to hold the model or the adapter
     * @param gone the servers that turned out to be gone
     */
    record PriorAttempts(
            Set<BackendServerName> servers, Set<BackendServerName> absentAt, Set<BackendServerName> gone) {}

    /** Takes the answer to a request. */
    @FunctionalInterface
    interface AnswerListener {

        /**
         * Takes an answer.
         *
         * @param answer the answer, empty if there is none and this VM must choose
         */
        void onAnswer(Optional<SlotAnswer> answer);
    }

    /**
     * Creates a client.
     *
     * @param network reaches the coordinator
     * @param coordinator returns the coordinator, if it is known
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
        this.silentUntil = new Deadline(clock.nanoTime());
    }

    /**
     * Returns the last slot that was given to this VM.
     *
     * @return its number
     */
    public long lastSlot() {
        return lastSlot;
    }

    /**
     * Asks for a place.
     *
     * @param held the request
     * @param work the work of an engine
     * @param tried what became of earlier attempts
     * @param taker takes the answer, perhaps before this returns
     */
    void request(BufferedRequest held, EngineWork work, PriorAttempts tried, AnswerListener taker) {
        long nowNanos = clock.nanoTime();
        Optional<VmName> asked = coordinator.get();
        if (asked.isEmpty() || !silentUntil.hasPassed(nowNanos)) {
            taker.onAnswer(Optional.empty());
            return;
        }
        long objectiveMillis = held.objectiveDeadline().remainingMillis(nowNanos);
        SlotRequest.Builder request = SlotRequest.newBuilder()
                .setZone(zone.value())
                .setService(held.service())
                .setModel(work.model())
                .setAdapter(work.adapter())
                .setPromptTokens(work.promptTokens())
                .setOutputTokens(work.outputTokens())
                .setRank(held.urgency())
                .setObjectiveMillis((int) objectiveMillis)
                .setDeadlineMillis((int) held.deadline().remainingMillis(nowNanos));
        work.promptParts()
                .forEach(part -> request.addParts(
                        PartOfPrompt.newBuilder().setIdentity(part.identity()).setTokens(part.tokens())));
        tried.servers().forEach(name -> request.addTried(name.value()));
        tried.absentAt().forEach(name -> request.addAbsentAt(name.value()));
        tried.gone().forEach(name -> request.addGone(name.value()));
        long waitedMillis = (nowNanos - held.arrivedAtNanos()) / 1_000_000L;
        request.setWaitedMillis((int) waitedMillis);
        network.request(
                        asked.get(),
                        MessageKind.SLOT,
                        request.build().toByteString(),
                        Deadline.after(nowNanos, PATIENCE))
                .whenComplete((body, failure) -> eventLoop.execute(() -> answered(asked.get(), body, failure, taker)));
    }

    private void answered(VmName asked, ByteString body, Throwable failure, AnswerListener taker) {
        if (failure != null) {
            silentUntil = Deadline.after(clock.nanoTime(), SILENCE);
            LOGGER.info("event=slot-unanswered vm={} reason=\"{}\"", asked, failure.getMessage());
            taker.onAnswer(Optional.empty());
            return;
        }
        try {
            SlotAnswer answer = SlotAnswer.parseFrom(body);
            lastSlot = Math.max(lastSlot, answer.getSlot());
            boolean isFromCoordinator = answer.getOutcome() != SlotAnswer.Outcome.NOT_COORDINATOR;
            taker.onAnswer(isFromCoordinator ? Optional.of(answer) : Optional.empty());
        } catch (InvalidProtocolBufferException exception) {
            LOGGER.warn("event=slot-malformed vm={}", asked);
            taker.onAnswer(Optional.empty());
        }
    }
}
