package org.borageproxy.server;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.ControlGroupCrashRegistry;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.CrashRegistry;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.forward.SuspectRequests;
import org.borageproxy.membership.BackendServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports requests during which a backend server crashed. A lost connection alone is not a crash: the server must also
 * refuse a new connection. Confined to the event loop of the requests.
 */
final class CrashReports implements SuspectRequests {

    private static final Logger LOGGER = LoggerFactory.getLogger(CrashReports.class);

    private final CrashRegistry registry;
    private final CrashProbe probe;

    CrashReports(GatewayRuntime runtime, ControlClient client, CrashProbe probe) {
        this.registry = new ControlGroupCrashRegistry(client, runtime.spread()::suspicion);
        this.probe = probe;
    }

    @Override
    public Suspicion suspicion(Fingerprint fingerprint) {
        return registry.suspicion(fingerprint);
    }

    @Override
    public void reportConnectionLoss(Fingerprint fingerprint, BackendServer server) {
        probe.hasStopped(server).onSuccess(hasStopped -> {
            if (hasStopped) {
                LOGGER.info(
                        "event=server-ended-during-request server={} incarnation={} request={}",
                        server.name(),
                        server.incarnation(),
                        fingerprint.value());
                registry.reportCrash(fingerprint, server.name(), server.incarnation(), false);
            }
        });
    }
}
