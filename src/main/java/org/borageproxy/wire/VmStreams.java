package org.borageproxy.wire;

import java.util.concurrent.CompletionStage;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import org.borageproxy.time.Deadline;
import org.borageproxy.vm.VmName;

/**
 * Opens connections to targets that another VM reaches. The other VM passes the bytes of both directions on as they
 * come, with backpressure, and ends one side like the other: closed or reset. Implementations are thread safe.
 */
public interface VmStreams {

    /**
     * Opens a connection through another VM.
     *
     * @param recipient the VM that connects to the target
     * @param request names the target
     * @param eventLoop the event loop of the connection, on which the result is completed
     * @param deadline the time after which opening fails
     * @return the connection, without handlers; fails with {@link StreamRefusedException} if the target refused the
     *     connection, with {@link StreamDeclinedException} if the VM does not connect, with another exception if the VM
     *     or the target was not reached
     */
    CompletionStage<Channel> open(VmName recipient, ByteString request, EventLoop eventLoop, Deadline deadline);

    /**
     * Sets the acceptor of connections that other VMs open through this one. Without it they are refused.
     *
     * @param acceptor connects to the targets
     */
    void acceptStreams(Acceptor acceptor);

    /** Connects to the targets that other VMs name. */
    @FunctionalInterface
    interface Acceptor {

        /**
         * Connects to a target.
         *
         * @param sender the VM that opens the connection
         * @param request names the target
         * @param eventLoop the event loop of the connection to the target
         * @return the connection, without handlers; fails with {@link java.net.ConnectException} if the target refused
         *     it, with {@link StreamDeclinedException} to tell the sender why there is none
         */
        CompletionStage<Channel> accept(VmName sender, ByteString request, EventLoop eventLoop);
    }
}
