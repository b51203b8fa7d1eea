package org.borageproxy.wire;

import java.time.InstantSource;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.timeout.IdleStateEvent;
import org.borageproxy.event.HybridClock;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against pings on connections that nobody uses, and against lost connections that nobody notices. */
class DialingHandlerTest {

    private final Frames frames =
            new Frames(new VmName("vm-1"), new HybridClock(InstantSource.system()), PeerCredential.of("secret"));
    private final EmbeddedChannel channel =
            new EmbeddedChannel(new DialingHandler(frames, new Receiver(), new CompletableFuture<>()));

    DialingHandlerTest() {
        channel.releaseOutbound();
    }

    @Test
    void unusedConnectionIsNotPingedAndStaysOpen() {
        for (int period = 0; period < 10; period++) {
            idle();
        }
        assertNull(channel.readOutbound());
        assertTrue(channel.isOpen());
    }

    @Test
    void connectionIsPingedAndClosedWhenNothingComesBack() {
        channel.writeOutbound(oneWay());
        channel.releaseOutbound();
        idle();
        assertEquals(Frame.Form.PING, this.<Frame>sent().getForm());
        idle();
        assertTrue(channel.isOpen());
        idle();
        assertFalse(channel.isOpen());
    }

    @Test
    void answerToPingEndsTheWait() {
        channel.writeOutbound(oneWay());
        channel.releaseOutbound();
        idle();
        assertEquals(Frame.Form.PING, this.<Frame>sent().getForm());
        channel.writeInbound(frames.empty(Frame.Form.PONG));
        idle();
        assertNull(channel.readOutbound());
        channel.writeOutbound(oneWay());
        channel.releaseOutbound();
        idle();
        assertEquals(Frame.Form.PING, this.<Frame>sent().getForm());
    }

    private Frame oneWay() {
        return frames.message(Frame.Form.ONE_WAY, MessageKind.STATUS.number(), 0, ByteString.EMPTY);
    }

    private <T> T sent() {
        return channel.readOutbound();
    }

    private void idle() {
        channel.pipeline().fireUserEventTriggered(IdleStateEvent.FIRST_READER_IDLE_STATE_EVENT);
    }

    private static final class Receiver implements FrameReceiver {

        @Override
        public VmName peer() {
            return new VmName("vm-2");
        }

        @Override
        public EventLoop eventLoop() {
            throw new UnsupportedOperationException();
        }

        @Override
        public void onFrame(Frame frame) {
            // Only the channel is examined.
        }

        @Override
        public void onChannelClosed(Channel closed) {
            // Only the channel is examined.
        }
    }
}
