package org.borageproxy.rig;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/**
 * A process that forwards connections to a backend server, as a sidecar does: it turns a reset of the server into an
 * orderly end and keeps its listening port when the server is gone, closing new connections at once.
 */
public final class LoopbackProxy {

    private final InetSocketAddress target;

    private LoopbackProxy(InetSocketAddress target) {
        this.target = target;
    }

    /** Arguments: the address, the port to listen on and the port of the server. */
    public static void main(String[] arguments) throws IOException {
        LoopbackProxy proxy = new LoopbackProxy(new InetSocketAddress(arguments[0], Integer.parseInt(arguments[2])));
        try (ServerSocket listening = new ServerSocket()) {
            listening.setReuseAddress(true);
            listening.bind(new InetSocketAddress(arguments[0], Integer.parseInt(arguments[1])), 100);
            RigServer.startThread(RigServer::endWithParent);
            while (true) {
                Socket connection = listening.accept();
                RigServer.startThread(() -> proxy.forward(connection));
            }
        }
    }

    private void forward(Socket caller) {
        try (caller;
                Socket server = new Socket()) {
            caller.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(target, 500);
            Thread requests = RigServer.startThread(() -> copy(caller, server));
            copy(server, caller);
            // Reads what the caller still sends, since closing with unread bytes would reset the connection.
            requests.join(2_000);
        } catch (IOException | InterruptedException exception) {
            // The server is gone or the caller has left; both connections are closed.
        }
    }

    private static void copy(Socket from, Socket to) {
        byte[] bytes = new byte[8192];
        boolean isOpen = true;
        try {
            InputStream input = from.getInputStream();
            OutputStream output = to.getOutputStream();
            int length = input.read(bytes);
            while (length >= 0) {
                if (isOpen) {
                    isOpen = write(output, bytes, length);
                }
                length = input.read(bytes);
            }
        } catch (IOException exception) {
            // A reset is passed on as an orderly end.
        }
        try {
            to.shutdownOutput();
        } catch (IOException exception) {
            // The connection is closed already.
        }
    }

    private static boolean write(OutputStream output, byte[] bytes, int length) {
        try {
            output.write(bytes, 0, length);
            return true;
        } catch (IOException exception) {
            return false;
        }
    }
}
