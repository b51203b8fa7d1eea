package org.borageproxy.operator;

import java.util.List;
import java.util.concurrent.CompletionStage;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.borageproxy.control.ControlClient;
import org.borageproxy.spread.ControlStateWatcher;
import org.borageproxy.spread.StateReader;
import org.borageproxy.vm.AvailabilityZone;
import org.borageproxy.wire.proto.ControlProtocol.Served;

/** Reports which revision each VM serves and whether the newest one is in force. Stateless and thread safe. */
final class StatusHandler implements OperatorRoute.Handler {

    /** Provides the name of this VM and the clock. */
    private final ControlClient client;

    /** Reads the revisions that the VMs serve. */
    private final StateReader reader;

    /** This VM's replica of the control group's state. */
    private final ControlStateWatcher spread;

    /**
     * Creates a handler.
     *
     * @param client provides the name of this VM and the clock
     * @param reader reads the revisions that the VMs serve
     * @param spread this VM's replica of the control group's state
     */
    StatusHandler(ControlClient client, StateReader reader, ControlStateWatcher spread) {
        this.client = client;
        this.reader = reader;
        this.spread = spread;
    }

    @Override
    public CompletionStage<OperatorResponse> handle(OperatorRequest request) {
        return reader.readServed().thenApply(this::describe);
    }

    /**
     * Describes what the VMs serve. The newest revision is that of the replica of this VM.
     *
     * @param served what the VMs serve
     * @return the response
     */
    private OperatorResponse describe(List<Served> served) {
        long revision = spread.current().revision();
        JsonArray vms = new JsonArray();
        for (Served vm : served) {
            vms.add(new JsonObject()
                    .put("vm", vm.getVm())
                    .put("zone", vm.getZone())
                    .put("revision", vm.getRevision())
                    .put("age_millis", vm.getAgeMillis()));
        }
        boolean isInForce =
                served.stream().allMatch(vm -> vm.getRevision() >= revision || !ChangeSubmitter.mayAdmit(vm));
        return OperatorResponse.ok(new JsonObject()
                .put("in_force", isInForce)
                .put("vm", client.self().value())
                .put("revision", revision)
                .put("fresh", spread.isFresh(client.nanoTime()))
                .put("vms", vms)
                .put(
                        "drained_zones",
                        new JsonArray(spread.drainedZones().stream()
                                .map(AvailabilityZone::value)
                                .sorted()
                                .toList())));
    }
}
