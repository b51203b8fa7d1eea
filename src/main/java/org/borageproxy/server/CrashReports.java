package org.borageproxy.server;

import org.borageproxy.control.ControlClient;
import org.borageproxy.control.CrashRegistryForControlGroup;
import org.borageproxy.execution.CrashProbe;
import org.borageproxy.execution.CrashRegistry;
import org.borageproxy.execution.Fingerprint;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.forward.SuspectRequests;
import org.borageproxy.membership.BackendServer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reports requests that were at a backend server when it ended. A lost connection alone is no crash: the server must
 * refuse a new connection. Used by the event loop of the requests.
 */
final class CrashReports implements SuspectRequests {

    private static final Logger LOGGER = LoggerFactory.getLogger(CrashReports.class);

    private final CrashRegistry registry;
    private final CrashProbe probe;

    CrashReports(GatewayFoundation foundation, ControlClient client, CrashProbe probe) {
        this.registry = new CrashRegistryForControlGroup(client, foundation.spread()::suspicion);
        this.probe = probe;
    }

    @Override
    public Suspicion suspicion(Fingerprint fingerprint) {
        return registry.suspicion(fingerprint);
    }

    @Override
    public void reportConnectionLoss(Fingerprint fingerprint, BackendServer server) {
        probe.hasStopped(server).onSuccess(gone -> {
            if (gone) {
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
