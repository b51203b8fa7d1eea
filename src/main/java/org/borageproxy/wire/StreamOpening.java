package org.borageproxy.wire;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * The opening of one connection through another VM: sends the request on an authenticated channel and hands the channel
 * over once the other VM has connected. Confined to the channel's event loop.
 */
final class StreamOpening implements FrameReceiver {

    /** Body of a failure if the target refused the connection. */
    private static final ByteString REFUSED = ByteString.copyFromUtf8("refused");

    /** Begin of the body of a failure if the other VM declined to connect; its reason follows. */
    private static final ByteString DECLINED = ByteString.copyFromUtf8("declined:");

    private static final long CORRELATION = 1;

    private final VmName peer;
    private final Frames frames;
    private final ByteString request;
    private final EventLoop eventLoop;
    private final CompletableFuture<Channel> opened = new CompletableFuture<>();
    private Channel channel;

    StreamOpening(VmName peer, Frames frames, ByteString request, EventLoop eventLoop) {
        this.peer = peer;
        this.frames = frames;
        this.request = request;
        this.eventLoop = eventLoop;
    }

    /** Returns the body of a failure that tells the other VM why it is not connected. */
    static ByteString describe(Throwable failure) {
        if (failure instanceof StreamDeclinedException declined) {
            return DECLINED.concat(declined.reason());
        }
        boolean isRefused = failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
        return isRefused ? REFUSED : ByteString.EMPTY;
    }

    /** Returns the connection, or the failure to open it. */
    CompletableFuture<Channel> opened() {
        return opened;
    }

    /** Sends the request on the authenticated channel, or closes it if opening has failed. */
    void begin(Channel authenticated) {
        channel = authenticated;
        if (opened.isDone()) {
            channel.close();
        } else {
            channel.writeAndFlush(
                    frames.message(Frame.Form.REQUEST, MessageKind.STREAM.number(), CORRELATION, request));
        }
    }

    /** Ends the opening without a connection; has no effect once the connection is handed over. */
    void fail(Throwable failure) {
        if (opened.completeExceptionally(failure) && channel != null) {
            channel.close();
        }
    }

    @Override
    public VmName peer() {
        return peer;
    }

    @Override
    public EventLoop eventLoop() {
        return eventLoop;
    }

    @Override
    public void onFrame(Frame frame) {
        if (opened.isDone() || frame.getCorrelation() != CORRELATION) {
            return;
        }
        if (frame.getForm() == Frame.Form.RESPONSE) {
            StreamJoint.removeHandlers(channel);
            TcpKeepAlive.enable(channel);
            opened.complete(channel);
        } else if (frame.getBody().equals(REFUSED)) {
            fail(new StreamRefusedException("The target refused the connection of " + peer));
        } else if (frame.getBody().startsWith(DECLINED)) {
            fail(new StreamDeclinedException(frame.getBody().substring(DECLINED.size())));
        } else {
            fail(new UnreachableException("The target is not reached by " + peer));
        }
    }

    @Override
    public void onChannelClosed(Channel closed) {
        opened.completeExceptionally(new UnreachableException("Connection lost to " + peer));
    }
}
