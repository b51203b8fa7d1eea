package org.borageproxy.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;

/**
 * Records whether the peer of a connection has ended its output in order. Stands before the decoder, which ends an
 * answer without a length at any end of the connection, also after an error or a close on this side. Requires half
 * closure of the channel. Not thread safe; confined to the event loop of the channel.
 */
final class InputEnd extends ChannelInboundHandlerAdapter {

    private boolean isOrderly;

    /** Returns whether the peer has ended its output. */
    boolean isOrderly() {
        return isOrderly;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (event instanceof ChannelInputShutdownEvent) {
            isOrderly = true;
        }
        context.fireUserEventTriggered(event);
    }
}
