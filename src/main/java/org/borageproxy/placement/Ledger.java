package org.borageproxy.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.borageproxy.engine.EngineState;
import org.borageproxy.engine.OrderResult;
import org.borageproxy.membership.BackendServerName;
import org.borageproxy.time.Deadline;

/**
 * What may be in the memory of each accelerator: what the engine's own state showed last, and on top everything that
 * open orders may still load. Memory is freed only by a later state of the engine itself, never by load reports or by
 * an accepted order. An open order is resolved only by proof: the engine refused it, the engine checks fencing numbers
 * and accepted one at least as high, or no order of its age can land any more, not even a duplicate, and the state was
 * read after that. Time is an argument. Confined to one thread.
 */
final class Ledger {

    /** The longest time after which an engine may still execute an order it was sent. */
    private final Duration longestOrderDelay;
    /** The open orders by number. */
    private final Map<Long, OpenOrder> open = new TreeMap<>();
    /** The newest state read from each engine. */
    private final Map<BackendServerName, StateRead> reads = new HashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param longestOrderDelay the longest time after which an engine may still execute an order it was sent
     */
    Ledger(Duration longestOrderDelay) {
        this.longestOrderDelay = longestOrderDelay;
    }

    /**
     * A state as it was read from an engine.
     *
     * @param state the state
     * @param checksFencing whether the engine refuses orders with an old fencing number
     * @param requestedAtNanos when the state was asked for, on the monotonic clock
     */
    record StateRead(EngineState state, boolean checksFencing, long requestedAtNanos) {}

    /**
     * Takes over the open orders of earlier owners.
     *
     * @param intents the intents
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @param leaseDuration the longest time for which an earlier owner may still send
     */
    void inherit(List<Intent> intents, long nowNanos, Duration leaseDuration) {
        Deadline landsBefore = Deadline.after(nowNanos, leaseDuration.plus(longestOrderDelay));
        intents.forEach(intent ->
                open.put(intent.number(), new OpenOrder(intent, OpenOrder.Phase.INHERITED, nowNanos, landsBefore)));
    }

    /**
     * Adds an intent that was recorded and is about to be sent.
     *
     * @param intent the intent
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    void addRecorded(Intent intent, long nowNanos) {
        open.put(
                intent.number(),
                new OpenOrder(intent, OpenOrder.Phase.RECORDED, nowNanos, new Deadline(Long.MAX_VALUE)));
    }

    /**
     * Takes what is known of an order after it was sent.
     *
     * @param number the order's number
     * @param result what is known
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     * @return whether the order is resolved
     */
    boolean applyResult(long number, OrderResult result, long nowNanos) {
        OpenOrder order = open.get(number);
        if (order == null) {
            return false;
        }
        boolean accepted = result instanceof OrderResult.Accepted;
        if (!accepted && !(result instanceof OrderResult.Unknown)) {
            open.remove(number);
            return true;
        }
        OpenOrder.Phase phase = accepted ? OpenOrder.Phase.ACCEPTED : OpenOrder.Phase.UNKNOWN;
        Deadline landsBefore = Deadline.after(nowNanos, longestOrderDelay);
        open.put(number, new OpenOrder(order.intent(), phase, nowNanos, landsBefore));
        return false;
    }

    /**
     * Takes a state read from an engine. A state that was asked for before the newest one is ignored.
     *
     * @param read the state
     * @return the numbers of the orders that it resolves
     */
    List<Long> applyState(StateRead read) {
        StateRead newest = reads.get(read.state().name());
        if (newest != null && newest.requestedAtNanos() - read.requestedAtNanos() > 0) {
            return List.of();
        }
        reads.put(read.state().name(), read);
        List<Long> resolved = new ArrayList<>();
        for (OpenOrder order : open.values()) {
            if (order.intent().server().equals(read.state().name()) && isResolved(order, read)) {
                resolved.add(order.intent().number());
            }
        }
        resolved.forEach(open::remove);
        return resolved;
    }

    /**
     * Tells whether a state proves the fate of an order.
     *
     * @param order the order
     * @param read the state
     * @return {@code true} if the order has landed, as the state shows, or can land no more
     */
    private static boolean isResolved(OpenOrder order, StateRead read) {
        Intent intent = order.intent();
        EngineState state = read.state();
        boolean waits = state.pendingOrders().contains(intent.number());
        boolean early = order.phase() == OpenOrder.Phase.RECORDED || state.incarnation() < intent.incarnation();
        if (early || waits || isUnloading(intent, state)) {
            return false;
        }
        boolean fenced = read.checksFencing() && state.highestFencing() >= intent.number();
        return fenced || order.executesBefore().hasPassed(read.requestedAtNanos());
    }

    /**
     * Tells whether an order is an unload that the engine has begun.
     *
     * @param intent the order's intent
     * @param state the engine's state
     * @return {@code true} until the model has left the memory
     */
    private static boolean isUnloading(Intent intent, EngineState state) {
        return intent.action() == Intent.Action.UNLOAD
                && state.find(intent.accelerator(), intent.model(), intent.version())
                        .filter(model -> !model.ready() && model.lastOrderNumber() == intent.number())
                        .isPresent();
    }

    /**
     * Returns the newest state read from an engine.
     *
     * @param server the engine
     * @return the state
     */
    Optional<StateRead> lastState(BackendServerName server) {
        return Optional.ofNullable(reads.get(server));
    }

    /**
     * Returns the open orders.
     *
     * @return a copy in order of their numbers
     */
    List<OpenOrder> openOrders() {
        return List.copyOf(open.values());
    }

    /**
     * Returns the memory that may be in use on an accelerator.
     *
     * @param server the engine
     * @param accelerator the accelerator
     * @return the memory in bytes; the largest number if the engine's state was never read
     */
    long maxUsedBytes(BackendServerName server, String accelerator) {
        StateRead read = reads.get(server);
        if (read == null) {
            return Long.MAX_VALUE;
        }
        Map<OrderKey, Long> mayLand = new HashMap<>();
        for (OpenOrder order : open.values()) {
            Intent intent = order.intent();
            boolean here =
                    intent.server().equals(server) && intent.accelerator().equals(accelerator);
            if (here && order.allocatesMemory() && !isPresent(intent, read.state())) {
                mayLand.merge(OrderKey.of(intent), intent.memoryBytes(), Math::max);
            }
        }
        long landedBytes = read.state().usedBytes(accelerator);
        return landedBytes
                + mayLand.values().stream().mapToLong(Long::longValue).sum();
    }

    /**
     * Tells whether what an order loads is in memory already.
     *
     * @param intent the order's intent
     * @param state the engine's state
     * @return {@code true} if the memory in use covers it
     */
    private static boolean isPresent(Intent intent, EngineState state) {
        return state.find(intent.accelerator(), intent.model(), intent.version())
                .filter(model -> intent.adapter().isEmpty() || model.adapters().contains(intent.adapter()))
                .isPresent();
    }

    /**
     * Forgets the states of engines that are gone; their open orders stay.
     *
     * @param present the engines that are still known
     */
    void retainStatesOf(Set<BackendServerName> present) {
        reads.keySet().retainAll(present);
    }
}
