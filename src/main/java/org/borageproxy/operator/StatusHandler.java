package org.borageproxy.operator;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.control.ControlClient;
import org.borageproxy.spread.SpreadState;
import org.borageproxy.spread.StateReader;
import org.borageproxy.wire.proto.ControlProtocol.Served;

/** Answers which VM serves which revision. Stateless and thread safe. */
final class StatusHandler implements OperatorRoute.Handler {

    /** Knows the name of this VM. */
    private final ControlClient client;

    /** Reads what the VMs serve. */
    private final StateReader reader;

    /** What this VM holds of the state. */
    private final SpreadState spread;

    /**
     * Creates a handler.
     *
     * @param client knows the name of this VM
     * @param reader reads what the VMs serve
     * @param spread what this VM holds of the state
     */
    StatusHandler(ControlClient client, StateReader reader, SpreadState spread) {
        this.client = client;
        this.reader = reader;
        this.spread = spread;
    }

    @Override
    public CompletionStage<OperatorAnswer> handle(OperatorRequest request) {
        return reader.readServed().thenApply(this::describe);
    }

    /**
     * Describes what the VMs serve.
     *
     * @param served what the VMs serve
     * @return the answer
     */
    private OperatorAnswer describe(List<Served> served) {
        long revision = spread.current().revision();
        JsonArray vms = new JsonArray();
        for (Served vm : served) {
            vms.add(new JsonObject()
                    .put("vm", vm.getVm())
                    .put("zone", vm.getZone())
                    .put("revision", vm.getRevision())
                    .put("age_millis", vm.getAgeMillis()));
        }
        boolean isInForce = served.stream().allMatch(vm -> vm.getRevision() >= revision || !Changes.mayAdmit(vm));
        return OperatorAnswer.of(new JsonObject()
                .put("in_force", isInForce)
                .put("vm", client.self().value())
                .put("revision", revision)
                .put("fresh", spread.isFresh(client.nanoTime()))
                .put("vms", vms));
    }
}
