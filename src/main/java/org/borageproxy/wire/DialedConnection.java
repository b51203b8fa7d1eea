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
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.borageproxy.vm.VmAddress;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The dialing end of the connection to one VM. It dials when there is something to send, keeps a bounded number of
 * frames while the handshake runs, and fails the requests without answer when the connection ends. All fields are used
 * on one event loop only; {@link #send} and {@link #request} may be called by any thread.
 */
final class DialedConnection {

    /** The log of connections. */
    private static final Logger LOGGER = LoggerFactory.getLogger(DialedConnection.class);
    /** The largest number of frames that wait for the handshake. */
    private static final int MOST_WAITING_FRAMES = 1_024;
    /** The pause after a failed attempt to dial. */
    private static final Duration DIAL_PAUSE = Duration.ofMillis(200);

    /** The VM at the other end. */
    private final VmName peer;
    /** Dials. */
    private final Dialer dialer;
    /** Makes the frames. */
    private final Frames frames;
    /** The clock of the deadlines. */
    private final MonotonicClock clock;
    /** The only thread that uses the fields below. */
    private final EventLoop eventLoop;
    /** Frames that wait for the handshake. */
    private final Queue<Frame> waiting = new ArrayDeque<>();
    /** Requests without answer by correlation. */
    private final Map<Long, CompletableFuture<ByteString>> pending = new HashMap<>();
    /** The channel once the handshake is done, otherwise {@code null}. */
    private Channel channel;
    /** Whether a dial or a handshake runs. */
    private boolean dialing;
    /** Before which no new attempt is made. */
    private Deadline nextDialAt;
    /** The correlation that was given last. */
    private long lastCorrelation;

    /** Opens channels to VMs. */
    @FunctionalInterface
    interface Dialer {

        /**
         * Opens a channel and runs the handshake on it.
         *
         * @param address the VM's address
         * @param connection the connection that uses the channel
         * @return the channel once the other end has proved itself
         */
        CompletableFuture<Channel> dial(VmAddress address, DialedConnection connection);
    }

    /**
     * Creates an end that has not dialed yet.
     *
     * @param peer the VM at the other end
     * @param dialer dials
     * @param frames makes the frames
     * @param clock the clock of the deadlines
     * @param eventLoop the event loop that does the work
     */
    DialedConnection(VmName peer, Dialer dialer, Frames frames, MonotonicClock clock, EventLoop eventLoop) {
        this.peer = peer;
        this.dialer = dialer;
        this.frames = frames;
        this.clock = clock;
        this.eventLoop = eventLoop;
        this.nextDialAt = new Deadline(clock.nanoTime());
    }

    /**
     * Returns the VM at the other end.
     *
     * @return the VM's name
     */
    VmName peer() {
        return peer;
    }

    /**
     * Returns the event loop that does the work.
     *
     * @return the event loop
     */
    EventLoop eventLoop() {
        return eventLoop;
    }

    /**
     * Sends a message without answer.
     *
     * @param kind the kind of message
     * @param body the encoded message
     * @param address the VM's address, empty if it is unknown
     */
    void send(MessageKind kind, ByteString body, Optional<VmAddress> address) {
        eventLoop.execute(() -> write(frames.message(Frame.Form.ONE_WAY, kind.number(), 0, body), address));
    }

    /**
     * Sends a request.
     *
     * @param kind the kind of message
     * @param body the encoded message
     * @param address the VM's address, empty if it is unknown
     * @param deadline when to give up
     * @return the answer or a failure
     */
    CompletableFuture<ByteString> request(
            MessageKind kind, ByteString body, Optional<VmAddress> address, Deadline deadline) {
        CompletableFuture<ByteString> answer = new CompletableFuture<>();
        eventLoop.execute(() -> {
            long correlation = ++lastCorrelation;
            pending.put(correlation, answer);
            long remaining = deadline.remainingNanos(clock.nanoTime());
            eventLoop.schedule(() -> fail(correlation, "No answer in time from "), remaining, TimeUnit.NANOSECONDS);
            if (!write(frames.message(Frame.Form.REQUEST, kind.number(), correlation, body), address)) {
                fail(correlation, "Cannot reach ");
            }
        });
        return answer;
    }

    /**
     * Takes a frame that came from the other end; called on the event loop.
     *
     * @param frame the frame
     */
    void receive(Frame frame) {
        frames.observe(frame);
        CompletableFuture<ByteString> answer = pending.remove(frame.getCorrelation());
        if (answer == null) {
            return;
        }
        if (frame.getForm() == Frame.Form.RESPONSE) {
            answer.complete(frame.getBody());
        } else {
            answer.completeExceptionally(new UnreachableException("The handler failed at " + peer));
        }
    }

    /**
     * Forgets a channel that has closed; called on the event loop.
     *
     * @param closed the channel
     */
    void closed(Channel closed) {
        if (channel == closed) {
            channel = null;
            failAll();
        }
    }

    /** Closes the channel and fails what waits for it. */
    void close() {
        eventLoop.execute(() -> {
            if (channel != null) {
                channel.close();
            }
            failAll();
        });
    }

    /**
     * Writes a frame, or keeps it until the handshake is done.
     *
     * @param frame the frame
     * @param address the VM's address, empty if it is unknown
     * @return {@code false} if the frame was dropped
     */
    private boolean write(Frame frame, Optional<VmAddress> address) {
        if (channel != null) {
            return writeToChannel(frame);
        }
        if (!dialing && (address.isEmpty() || !nextDialAt.hasPassed(clock.nanoTime()))) {
            return false;
        }
        if (waiting.size() >= MOST_WAITING_FRAMES) {
            return false;
        }
        waiting.add(frame);
        if (!dialing) {
            dial(address.get());
        }
        return true;
    }

    /**
     * Writes a frame to the channel unless too many bytes wait in it.
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

    /**
     * Dials the VM.
     *
     * @param address the VM's address
     */
    private void dial(VmAddress address) {
        dialing = true;
        dialer.dial(address, this).whenComplete((opened, failure) -> eventLoop.execute(() -> dialed(opened, failure)));
    }

    /**
     * Takes the result of an attempt to dial.
     *
     * @param opened the channel, or {@code null}
     * @param failure the failure, or {@code null}
     */
    private void dialed(Channel opened, Throwable failure) {
        dialing = false;
        if (failure != null || !opened.isActive()) {
            LOGGER.debug("event=dial-failed peer={}", peer, failure);
            nextDialAt = Deadline.after(clock.nanoTime(), DIAL_PAUSE);
            failAll();
            return;
        }
        channel = opened;
        waiting.forEach(channel::write);
        waiting.clear();
        channel.flush();
    }

    /**
     * Fails one request if it has no answer yet.
     *
     * @param correlation the request's correlation
     * @param reason the start of the reason, completed with the VM's name
     */
    private void fail(long correlation, String reason) {
        CompletableFuture<ByteString> answer = pending.remove(correlation);
        if (answer != null) {
            answer.completeExceptionally(new UnreachableException(reason + peer));
        }
    }

    /** Drops the waiting frames and fails all requests without answer. */
    private void failAll() {
        waiting.clear();
        Map<Long, CompletableFuture<ByteString>> failed = Map.copyOf(pending);
        pending.clear();
        failed.values()
                .forEach(
                        answer -> answer.completeExceptionally(new UnreachableException("Connection lost to " + peer)));
    }
}
