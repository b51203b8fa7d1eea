package org.borageproxy.platform;

import java.time.Duration;

import io.netty.util.internal.PlatformDependent;
import org.borageproxy.buffer.BufferLimits;

/**
 * Process with a forwarding server whose buffers are derived from its own heap. Takes the ports of its servers, with
 * {@code +} before those of the other service. Prints its port when it listens.
 */
final class SmallHeapVm {

    private static final String OTHER = "+";

    private SmallHeapVm() {}

    public static void main(String[] serverPorts) throws Exception {
        BufferLimits limits = BufferLimits.of(Runtime.getRuntime().maxMemory(), PlatformDependent.maxDirectMemory());
        ForwardingFixture fixture = new ForwardingFixture(limits, Duration.ofSeconds(10));
        for (String serverPort : serverPorts) {
            if (serverPort.startsWith(OTHER)) {
                fixture.addOtherServer(Integer.parseInt(serverPort.substring(OTHER.length())));
            } else {
                fixture.addServer(Integer.parseInt(serverPort));
            }
        }
        System.out.println("port=" + fixture.port());
        System.in.read();
        System.out.println(
                "peak=" + fixture.onEventLoop(() -> fixture.buffers().peakBytes()) + " limit=" + limits.totalBytes()
                        + " open=" + fixture.onEventLoop(() -> fixture.buffers().openCount()));
        fixture.close();
    }
}
