package org.borageproxy.wire;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The dialing end of the connection to one VM. It connects on demand, queues a bounded number of frames during the
 * handshake, and fails all pending requests when the connection is lost. Frames beyond the queue or the channel's write
 * buffer are dropped. The state is confined to one event loop; {@link #send}, {@link #request} and {@link #close} may
 * be called by any thread.
 */
final class DialedConnection implements FrameReceiver {

    private static final Logger LOGGER = LoggerFactory.getLogger(DialedConnection.class);
    private static final int MAX_QUEUED_FRAMES = 1_024;
    /** Limits the rate of connection attempts to an unreachable VM. */
    private static final Duration REDIAL_DELAY = Duration.ofMillis(200);
    /** Minimum interval between two log lines on late answers. */
    private static final Duration LATE_ANSWER_LOG_INTERVAL = Duration.ofSeconds(1);

    private final VmName peer;
    private final Dialer dialer;
    private final Frames frames;
    private final MonotonicClock clock;
    /** The only thread that accesses the fields below. */
    private final EventLoop eventLoop;
    /** Frames to be sent once the handshake is complete. */
    private final Queue<Frame> queuedFrames = new ArrayDeque<>();
    /** Unanswered requests by correlation number. */
    private final Map<Long, CompletableFuture<ByteString>> pendingRequests = new HashMap<>();
    /** The authenticated channel, {@code null} while not connected. */
    private Channel channel;
    /** Whether a connection attempt or a handshake is in progress. */
    private boolean dialing;
    /** The time before which no connection attempt is made. */
    private Deadline earliestDialAt;

    private long lastCorrelation;
    /** Answers that arrived after the deadline of their request. */
    private long lateAnswers;

    private Deadline lateAnswersQuietUntil;

    /** Opens authenticated channels to VMs. */
    @FunctionalInterface
    interface Dialer {

        /**
         * Opens a channel and performs the handshake.
         *
         * @param address the VM's address
         * @param connection the connection that receives the channel's frames
         * @return the channel once the peer is authenticated, or the failure
         */
        CompletableFuture<Channel> dial(VmAddress address, FrameReceiver connection);
    }

    /**
     * Creates a connection that is not open yet.
     *
     * @param peer the VM to connect to
     * @param dialer opens channels
     * @param frames creates frames
     * @param clock the clock of deadlines
     * @param eventLoop the event loop to which the state is confined
     */
    DialedConnection(VmName peer, Dialer dialer, Frames frames, MonotonicClock clock, EventLoop eventLoop) {
        this.peer = peer;
        this.dialer = dialer;
        this.frames = frames;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.earliestDialAt = new Deadline(clock.nanoTime());
        this.lateAnswersQuietUntil = earliestDialAt;
    }

    @Override
    public VmName peer() {
        return peer;
    }

    @Override
    public EventLoop eventLoop() {
        return eventLoop;
    }

    /**
     * Sends a one-way message, or drops it silently if the VM is unreachable or a limit is exceeded.
     *
     * @param kind the kind of message
     * @param body the encoded message
     * @param address the VM's address for a new connection, empty if unknown
     */
    void send(MessageKind kind, ByteString body, Optional<VmAddress> address) {
        eventLoop.execute(() -> writeOrQueue(frames.message(Frame.Form.ONE_WAY, kind.number(), 0, body), address));
    }

    /**
     * Sends a request.
     *
     * @param kind the kind of message
     * @param body the encoded message
     * @param address the VM's address for a new connection, empty if unknown
     * @param deadline the time after which the request fails
     * @return the encoded answer, or a failure with {@link UnreachableException}
     */
    CompletableFuture<ByteString> request(
            MessageKind kind, ByteString body, Optional<VmAddress> address, Deadline deadline) {
        CompletableFuture<ByteString> answer = new CompletableFuture<>();
        eventLoop.execute(() -> {
            long correlation = ++lastCorrelation;
            pendingRequests.put(correlation, answer);
            long remaining = deadline.remainingNanos(clock.nanoTime());
            ScheduledFuture<?> timeout = eventLoop.schedule(
                    () -> fail(correlation, "No answer before the deadline from "), remaining, TimeUnit.NANOSECONDS);
            // A timer that is left behind wakes the event loop once more for each answered request.
            answer.whenComplete((content, failure) -> timeout.cancel(false));
            if (!writeOrQueue(frames.message(Frame.Form.REQUEST, kind.number(), correlation, body), address)) {
                fail(correlation, "Message could not be sent to ");
            }
        });
        return answer;
    }

    /**
     * Completes the request to which a received frame belongs. A frame without pending request, such as a late answer,
     * is ignored.
     *
     * @param frame the received frame
     */
    @Override
    public void onFrame(Frame frame) {
        frames.observe(frame);
        CompletableFuture<ByteString> answer = pendingRequests.remove(frame.getCorrelation());
        if (answer == null) {
            logLateAnswer(frame);
            return;
        }
        if (frame.getForm() == Frame.Form.RESPONSE) {
            answer.complete(frame.getBody());
        } else {
            answer.completeExceptionally(new UnreachableException("The message handler failed on " + peer));
        }
    }

    /** Logs answers that arrive after the deadline of their request, once a second at most. */
    private void logLateAnswer(Frame frame) {
        lateAnswers++;
        if (lateAnswersQuietUntil.hasPassed(clock.nanoTime())) {
            lateAnswersQuietUntil = Deadline.after(clock.nanoTime(), LATE_ANSWER_LOG_INTERVAL);
            LOGGER.info(
                    "event=answer-late peer={} kind={} bytes={} times={}",
                    peer,
                    frame.getKind(),
                    frame.getBody().size(),
                    lateAnswers);
        }
    }

    /**
     * Fails all pending requests if the closed channel is the current one.
     *
     * @param closed the closed channel
     */
    @Override
    public void onChannelClosed(Channel closed) {
        if (channel == closed) {
            channel = null;
            failAll();
        }
    }

    /** Closes the channel, drops the queued frames and fails all pending requests. Later messages connect anew. */
    void close() {
        eventLoop.execute(() -> {
            if (channel != null) {
                channel.close();
            }
            failAll();
        });
    }

    /**
     * Writes a frame, or queues it until the handshake is complete and connects if necessary.
     *
     * @param frame the frame
     * @param address the VM's address for a new connection, empty if unknown
     * @return {@code false} if the frame was dropped
     */
    private boolean writeOrQueue(Frame frame, Optional<VmAddress> address) {
        if (channel != null) {
            return writeToChannel(frame);
        }
        if (!dialing && (address.isEmpty() || !earliestDialAt.hasPassed(clock.nanoTime()))) {
            return false;
        }
        if (queuedFrames.size() >= MAX_QUEUED_FRAMES) {
            return false;
        }
        queuedFrames.add(frame);
        if (!dialing) {
            dial(address.get());
        }
        return true;
    }

    /**
     * Writes a frame to the channel unless its write buffer exceeds the high-water mark.
     *
     * @param frame the frame
     * @return {@code false} if the frame was dropped
     */
    private boolean writeToChannel(Frame frame) {
        if (!channel.isWritable()) {
            return false;
        }
        channel.writeAndFlush(frame);
        return true;
    }

    private void dial(VmAddress address) {
        dialing = true;
        dialer.dial(address, this)
                .whenComplete((opened, failure) -> eventLoop.execute(() -> onDialed(opened, failure)));
    }

    /**
     * Adopts the opened channel and sends the queued frames, or fails all requests and delays the next attempt.
     *
     * @param opened the authenticated channel, {@code null} on failure
     * @param failure the failure, {@code null} on success
     */
    private void onDialed(Channel opened, Throwable failure) {
        dialing = false;
        if (failure != null || !opened.isActive()) {
            LOGGER.debug("event=dial-failed peer={}", peer, failure);
            earliestDialAt = Deadline.after(clock.nanoTime(), REDIAL_DELAY);
            failAll();
            return;
        }
        channel = opened;
        queuedFrames.forEach(channel::write);
        queuedFrames.clear();
        channel.flush();
    }

    /**
     * Fails a request unless it has completed.
     *
     * @param correlation the request's correlation number
     * @param reason the start of the exception message, to which the VM's name is appended
     */
    private void fail(long correlation, String reason) {
        CompletableFuture<ByteString> answer = pendingRequests.remove(correlation);
        if (answer != null) {
            answer.completeExceptionally(new UnreachableException(reason + peer));
        }
    }

    /** Drops the queued frames and fails all pending requests. */
    private void failAll() {
        queuedFrames.clear();
        Map<Long, CompletableFuture<ByteString>> failed = Map.copyOf(pendingRequests);
        pendingRequests.clear();
        failed.values()
                .forEach(
                        answer -> answer.completeExceptionally(new UnreachableException("Connection lost to " + peer)));
    }
}
