package org.borageproxy.platform;

import java.io.IOException;
import java.io.OutputStream;
import java.lang.reflect.Proxy;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import org.borageproxy.server.ControlPlane;
import org.borageproxy.settings.Endpoint;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against a call without end that fills the heap of a control VM. */
class ControlCallsTest {

    private static final int MAX_PARTS = 100_000;

    @Test
    void connectionOfCallWithoutEndIsClosed() throws Exception {
        ControlPlane unused = (ControlPlane) Proxy.newProxyInstance(
                ControlPlane.class.getClassLoader(),
                new Class<?>[] {ControlPlane.class},
                (proxy, method, arguments) -> {
                    throw new AssertionError("handled a call without end: " + method);
                });
        int port;
        try (ServerSocket free = new ServerSocket(0)) {
            port = free.getLocalPort();
        }
        Vertx vertx = Vertx.vertx();
        try {
            ControlCalls.serve(vertx, new Endpoint("127.0.0.1", port), unused, 1200)
                    .toCompletableFuture()
                    .get(10, TimeUnit.SECONDS);
            for (String path : new String[] {"/Config.Replace", "/Replicas.Heartbeat/i-1"}) {
                assertThrows(IOException.class, () -> sendWithoutEnd(port, path));
            }
        } finally {
            vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
        }
    }

    /** Sends parts of 16 KB until that fails; their number bounds the test if it never does. */
    private static void sendWithoutEnd(int port, String path) throws IOException {
        try (Socket socket = new Socket("127.0.0.1", port)) {
            OutputStream output = socket.getOutputStream();
            output.write(("POST " + path + " HTTP/1.1\r\nHost: c\r\nTransfer-Encoding: chunked\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            byte[] part = ("4000\r\n" + "x".repeat(0x4000) + "\r\n").getBytes(StandardCharsets.US_ASCII);
            for (int number = 0; number < MAX_PARTS; number++) {
                output.write(part);
            }
        }
    }
}
