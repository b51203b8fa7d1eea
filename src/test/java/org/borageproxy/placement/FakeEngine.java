package org.borageproxy.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.borageproxy.engine.EngineState;
import org.borageproxy.engine.OrderResult;
import org.borageproxy.membership.Accelerator;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerKind;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.membership.BackendServerState;
import org.borageproxy.membership.LoadReport;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.vm.AvailabilityZone;

/** A model engine in virtual time that counts overcommitment and unloads of the last copy itself. */
final class FakeEngine {

    static final long LOAD_MILLIS = 800;
    static final long UNLOAD_MILLIS = 300;

    final BackendServerName name;
    final String zone;
    final boolean checksFencing;
    final long memoryBytes;
    boolean alive = true;
    long incarnation = 1;
    long overcommits;
    private final VirtualTime time;
    private final List<Copy> copies = new ArrayList<>();
    private final Set<Long> pending = new TreeSet<>();
    private long highestFencing;

    FakeEngine(VirtualTime time, String name, String zone, boolean checksFencing, long memoryBytes) {
        this.time = time;
        this.name = new BackendServerName(name);
        this.zone = zone;
        this.checksFencing = checksFencing;
        this.memoryBytes = memoryBytes;
    }

    /** A model in memory. */
    private static final class Copy {

        final Intent load;
        long order;
        boolean ready;
        boolean leaving;

        Copy(Intent load) {
            this.load = load;
            order = load.number();
        }
    }

    OrderResult receive(Intent order, long delayMillis, boolean forget) {
        if (checksFencing && order.number() < highestFencing) {
            return new OrderResult.Fenced(highestFencing);
        }
        highestFencing = Math.max(highestFencing, order.number());
        if (forget) {
            return new OrderResult.Accepted();
        }
        if (delayMillis == 0) {
            return execute(order);
        }
        long accepting = incarnation;
        pending.add(order.number());
        time.afterMillis(delayMillis, () -> {
            if (accepting == incarnation && alive) {
                pending.remove(order.number());
                execute(order);
            }
        });
        return new OrderResult.Accepted();
    }

    private OrderResult execute(Intent order) {
        Copy known = find(order.model());
        if (order.action() == Intent.Action.UNLOAD) {
            if (known != null) {
                unload(known, order.number());
            }
            return new OrderResult.Accepted();
        }
        if (known != null) {
            known.order = Math.max(known.order, order.number());
            return new OrderResult.Accepted();
        }
        if (usedBytes() + order.memoryBytes() > memoryBytes) {
            overcommits++;
            return new OrderResult.Refused(507);
        }
        Copy copy = new Copy(order);
        copies.add(copy);
        time.afterMillis(LOAD_MILLIS, () -> copy.ready = !copy.leaving);
        return new OrderResult.Accepted();
    }

    private void unload(Copy copy, long order) {
        copy.leaving = true;
        copy.ready = false;
        copy.order = order;
        time.afterMillis(UNLOAD_MILLIS, () -> copies.remove(copy));
    }

    private Copy find(String model) {
        return copies.stream()
                .filter(copy -> !copy.leaving && copy.load.model().equals(model))
                .findFirst()
                .orElse(null);
    }

    boolean serves(String model) {
        Copy copy = find(model);
        return alive && copy != null && copy.ready;
    }

    long usedBytes() {
        return copies.stream().mapToLong(copy -> copy.load.memoryBytes()).sum();
    }

    void crash() {
        alive = false;
        copies.clear();
        pending.clear();
    }

    void restart() {
        alive = true;
        incarnation++;
        highestFencing = 0;
    }

    EngineState state() {
        List<EngineState.ModelInMemory> models = copies.stream()
                .map(copy -> new EngineState.ModelInMemory(
                        copy.load.model(), copy.load.version(), "0", Set.of(), copy.ready, copy.order))
                .toList();
        return new EngineState(
                name,
                incarnation,
                highestFencing,
                List.of(new EngineState.AcceleratorMemory("0", memoryBytes, usedBytes())),
                models,
                checksFencing ? Set.copyOf(pending) : Set.of());
    }

    BackendServer server() {
        return new BackendServer(
                name,
                incarnation,
                0,
                BackendServerKind.ENGINE,
                alive ? BackendServerState.ALIVE : BackendServerState.SUSPECT,
                new AvailabilityZone(zone),
                "127.0.0.1",
                1,
                checksFencing,
                Set.of(),
                List.of(new Accelerator("0", memoryBytes)),
                List.of(),
                new LoadReport(0, 0, 10, 10.0, 1_000.0));
    }
}
