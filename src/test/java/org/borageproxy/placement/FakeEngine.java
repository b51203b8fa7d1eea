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

/** A model engine in virtual time. It counts the loads that would have exceeded its memory. */
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
    private final Set<Long> pendingOrders = new TreeSet<>();
    private long highestFencing;

    FakeEngine(VirtualTime time, String name, String zone, boolean checksFencing, long memoryBytes) {
        this.time = time;
        this.name = new BackendServerName(name);
        this.zone = zone;
        this.checksFencing = checksFencing;
        this.memoryBytes = memoryBytes;
    }

    /** A model version in memory or being loaded or unloaded. */
    private static final class Copy {

        final Intent load;
        long lastOrderNumber;
        boolean ready;
        boolean unloading;

        Copy(Intent load) {
            this.load = load;
            lastOrderNumber = load.number();
        }
    }

    OrderResult receive(Intent order, long delayMillis, boolean isDropped) {
        if (checksFencing && order.number() < highestFencing) {
            return new OrderResult.Fenced(highestFencing);
        }
        highestFencing = Math.max(highestFencing, order.number());
        if (isDropped) {
            return new OrderResult.Accepted();
        }
        if (delayMillis == 0) {
            return execute(order);
        }
        long incarnationAtReceipt = incarnation;
        pendingOrders.add(order.number());
        time.scheduleAfterMillis(delayMillis, () -> {
            if (incarnationAtReceipt == incarnation && alive) {
                pendingOrders.remove(order.number());
                execute(order);
            }
        });
        return new OrderResult.Accepted();
    }

    private OrderResult execute(Intent order) {
        Copy loaded = findModel(order.model());
        if (order.action() == Intent.Action.UNLOAD) {
            if (loaded != null) {
                unload(loaded, order.number());
            }
            return new OrderResult.Accepted();
        }
        if (loaded != null) {
            loaded.lastOrderNumber = Math.max(loaded.lastOrderNumber, order.number());
            return new OrderResult.Accepted();
        }
        if (usedBytes() + order.memoryBytes() > memoryBytes) {
            overcommits++;
            return new OrderResult.Refused(507);
        }
        Copy copy = new Copy(order);
        copies.add(copy);
        time.scheduleAfterMillis(LOAD_MILLIS, () -> copy.ready = !copy.unloading);
        return new OrderResult.Accepted();
    }

    private void unload(Copy copy, long order) {
        copy.unloading = true;
        copy.ready = false;
        copy.lastOrderNumber = order;
        time.scheduleAfterMillis(UNLOAD_MILLIS, () -> copies.remove(copy));
    }

    private Copy findModel(String model) {
        return copies.stream()
                .filter(copy -> !copy.unloading && copy.load.model().equals(model))
                .findFirst()
                .orElse(null);
    }

    boolean serves(String model) {
        Copy copy = findModel(model);
        return alive && copy != null && copy.ready;
    }

    long usedBytes() {
        return copies.stream().mapToLong(copy -> copy.load.memoryBytes()).sum();
    }

    void crash() {
        alive = false;
        copies.clear();
        pendingOrders.clear();
    }

    void restart() {
        alive = true;
        incarnation++;
        highestFencing = 0;
    }

    EngineState state() {
        List<EngineState.ModelInMemory> models = copies.stream()
                .map(copy -> new EngineState.ModelInMemory(
                        copy.load.model(), copy.load.version(), "0", Set.of(), copy.ready, copy.lastOrderNumber))
                .toList();
        return new EngineState(
                name,
                incarnation,
                highestFencing,
                List.of(new EngineState.AcceleratorMemory("0", memoryBytes, usedBytes())),
                models,
                checksFencing ? Set.copyOf(pendingOrders) : Set.of());
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
