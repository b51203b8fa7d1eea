package org.borageproxy.wire;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;

/**
 * One direction of two joined channels: passes the bytes that one receives on to the other, which is closed after them
 * or reset if the first one was. Not more than the write buffer of the other one is held. Confined to the event loop
 * that both channels share.
 */
final class StreamJoint extends ChannelInboundHandlerAdapter {

    private final Channel own;
    private final Channel other;
    private boolean isReset;

    private StreamJoint(Channel own, Channel other) {
        this.own = own;
        this.other = other;
    }

    /**
     * Joins two channels in both directions, in place of their handlers.
     *
     * @param first a channel
     * @param second another channel of the same event loop
     */
    static void join(Channel first, Channel second) {
        removeHandlers(first);
        removeHandlers(second);
        TcpKeepAlive.enable(first);
        TcpKeepAlive.enable(second);
        first.pipeline().addLast(new StreamJoint(first, second));
        second.pipeline().addLast(new StreamJoint(second, first));
        first.config().setAutoRead(true);
        second.config().setAutoRead(true);
        if (!first.isActive() || !second.isActive()) {
            abort(first);
            abort(second);
        }
    }

    /**
     * Removes all handlers of a channel, which then carries bytes.
     *
     * @param channel the channel
     */
    static void removeHandlers(Channel channel) {
        ChannelPipeline pipeline = channel.pipeline();
        while (pipeline.first() != null) {
            pipeline.removeFirst();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        other.writeAndFlush(message).addListener(written -> {
            if (!written.isSuccess()) {
                abort(own);
            }
        });
        if (!other.isWritable()) {
            context.channel().config().setAutoRead(false);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        other.config().setAutoRead(context.channel().isWritable());
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (isReset) {
            abort(other);
        } else {
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        isReset = true;
        context.close();
    }

    private static void abort(Channel channel) {
        if (channel.isOpen()) {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
            channel.close();
        }
    }
}
