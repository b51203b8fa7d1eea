package org.borageproxy.wire;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/** The dialing end's use of a channel to one VM. All methods but the getters are called on the channel's event loop. */
interface FrameReceiver {

    /**
     * Returns the VM to which the channel leads.
     *
     * @return the VM's name
     */
    VmName peer();

    /**
     * Returns the event loop of the channel.
     *
     * @return the event loop
     */
    EventLoop eventLoop();

    /**
     * Handles a frame of the authenticated peer.
     *
     * @param frame the received frame
     */
    void onFrame(Frame frame);

    /**
     * Handles the end of the channel.
     *
     * @param closed the closed channel
     */
    void onChannelClosed(Channel closed);
}
