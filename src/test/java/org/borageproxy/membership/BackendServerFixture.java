package org.borageproxy.membership;

import java.util.Arrays;
import java.util.List;
import java.util.Set;

import org.borageproxy.vm.AvailabilityZone;

/** Backend servers for tests: alive, in one availability zone, for one service. */
public final class BackendServerFixture {

    /** The incarnation of each server. */
    public static final long INCARNATION = 7;
    /** The service that each server runs. */
    public static final String SERVICE = "s";
    /** The availability zone of each server. */
    public static final AvailabilityZone ZONE = new AvailabilityZone("a");

    private static final LoadReport IDLE = new LoadReport(0, 0, 64, 1, 1);

    private BackendServerFixture() {}

    /**
     * Returns a model engine.
     *
     * @param name its name
     * @param models the models that are loaded on it, without adapters
     * @return the engine
     */
    public static BackendServer engine(String name, String... models) {
        List<LoadedModel> loaded = Arrays.stream(models)
                .map(model -> new LoadedModel(model, "1", "", Set.of()))
                .toList();
        return server(name, BackendServerKind.ENGINE, 1, loaded);
    }

    /**
     * Returns a copy of a server with another software version.
     *
     * @param server the server
     * @param softwareVersion the version
     * @return the copy
     */
    public static BackendServer withSoftware(BackendServer server, String softwareVersion) {
        return copy(server, server.incarnation(), softwareVersion, server.zone());
    }

    /**
     * Returns a copy of a server in another availability zone.
     *
     * @param server the server
     * @param zone the availability zone
     * @return the copy
     */
    public static BackendServer inZone(BackendServer server, AvailabilityZone zone) {
        return copy(server, server.incarnation(), server.softwareVersion(), zone);
    }

    /**
     * Returns the next incarnation of a server.
     *
     * @param server the server
     * @return the server after a restart
     */
    public static BackendServer restarted(BackendServer server) {
        return copy(server, server.incarnation() + 1, server.softwareVersion(), server.zone());
    }

    /**
     * Returns a copy of a server in another availability zone.
     *
     * @param server the server
     * @param zone the name of the zone
     * @return the copy
     */
    public static BackendServer inZone(BackendServer server, String zone) {
        return inZone(server, new AvailabilityZone(zone));
    }

    private static BackendServer copy(
            BackendServer server, long incarnation, String softwareVersion, AvailabilityZone zone) {
        return new BackendServer(
                server.name(),
                incarnation,
                server.sequence(),
                server.kind(),
                server.state(),
                zone,
                server.host(),
                server.port(),
                server.checksFencing(),
                server.services(),
                server.accelerators(),
                server.models(),
                server.localWeights(),
                softwareVersion,
                server.load());
    }

    /**
     * Returns a server of a plain service.
     *
     * @param name its name
     * @param port its port on the loopback address
     * @return the server
     */
    public static BackendServer service(String name, int port) {
        return server(name, BackendServerKind.SERVICE, port, List.of());
    }

    private static BackendServer server(String name, BackendServerKind kind, int port, List<LoadedModel> models) {
        return new BackendServer(
                new BackendServerName(name),
                INCARNATION,
                1,
                kind,
                BackendServerState.ALIVE,
                ZONE,
                "127.0.0.1",
                port,
                true,
                Set.of(SERVICE),
                List.of(),
                models,
                IDLE);
    }
}
