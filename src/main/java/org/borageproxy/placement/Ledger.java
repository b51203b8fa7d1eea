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
 * Tracks what may be in the memory of each accelerator: the last state read from its engine, plus everything that open
 * orders may still load. Only a later state of the engine itself frees memory; load reports and accepted orders don't.
 * An open order is resolved only by proof: the engine rejected it; or the engine checks fencing tokens and has accepted
 * one at least as high; or the state was read after the time by which the order and any duplicate must have been
 * executed. Time is passed in. Confined to one thread.
 */
final class Ledger {

    private final Duration maxOrderDelay;
    private final Map<Long, OpenOrder> openOrders = new TreeMap<>();
    private final Map<BackendServerName, StateRead> lastStates = new HashMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param maxOrderDelay the longest time after which an engine may still execute an order sent to it
     */
    Ledger(Duration maxOrderDelay) {
        this.maxOrderDelay = maxOrderDelay;
    }

    /**
     * A state read from an engine.
     *
     * @param state the state
     * @param checksFencing whether the engine rejects orders with an outdated fencing token
     * @param requestedAtNanos the time of the request for the state, on the monotonic clock
     */
    record StateRead(EngineState state, boolean checksFencing, long requestedAtNanos) {}

    /**
     * Adds the open orders of earlier placement owners.
     *
     * @param intents the intents
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @param leaseDuration the longest time for which an earlier owner may still send orders
     */
    void inherit(List<Intent> intents, long nowNanos, Duration leaseDuration) {
        Deadline executesBefore = Deadline.after(nowNanos, leaseDuration.plus(maxOrderDelay));
        intents.forEach(intent -> openOrders.put(
                intent.number(), new OpenOrder(intent, OpenOrder.Phase.INHERITED, nowNanos, executesBefore)));
    }

    /**
     * Adds an intent that has been recorded and whose order is about to be sent.
     *
     * @param intent the intent
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void addRecorded(Intent intent, long nowNanos) {
        openOrders.put(
                intent.number(),
                new OpenOrder(intent, OpenOrder.Phase.RECORDED, nowNanos, new Deadline(Long.MAX_VALUE)));
    }

    /**
     * Applies the outcome of sending an order.
     *
     * @param number the number of the order
     * @param result the outcome
     * @param nowNanos the time on the monotonic clock in nanoseconds
     * @return whether the order is resolved
     */
    boolean applyResult(long number, OrderResult result, long nowNanos) {
        OpenOrder order = openOrders.get(number);
        if (order == null) {
            return false;
        }
        boolean isAccepted = result instanceof OrderResult.Accepted;
        if (!isAccepted && !(result instanceof OrderResult.Unknown)) {
            openOrders.remove(number);
            return true;
        }
        OpenOrder.Phase phase = isAccepted ? OpenOrder.Phase.ACCEPTED : OpenOrder.Phase.UNKNOWN;
        Deadline executesBefore = Deadline.after(nowNanos, maxOrderDelay);
        openOrders.put(number, new OpenOrder(order.intent(), phase, nowNanos, executesBefore));
        return false;
    }

    /**
     * Applies a state read from an engine. A state requested before the latest known one is ignored.
     *
     * @param read the state
     * @return the numbers of the orders that it resolves
     */
    List<Long> applyState(StateRead read) {
        StateRead latest = lastStates.get(read.state().name());
        if (latest != null && latest.requestedAtNanos() - read.requestedAtNanos() > 0) {
            return List.of();
        }
        lastStates.put(read.state().name(), read);
        List<Long> resolved = new ArrayList<>();
        for (OpenOrder order : openOrders.values()) {
            if (order.intent().server().equals(read.state().name()) && isResolved(order, read)) {
                resolved.add(order.intent().number());
            }
        }
        resolved.forEach(openOrders::remove);
        return resolved;
    }

    /** Returns whether a state proves that the order has been executed or never will be. */
    private static boolean isResolved(OpenOrder order, StateRead read) {
        Intent intent = order.intent();
        EngineState state = read.state();
        boolean isPending = state.pendingOrders().contains(intent.number());
        boolean isPremature = order.phase() == OpenOrder.Phase.RECORDED || state.incarnation() < intent.incarnation();
        if (isPremature || isPending || isUnloading(intent, state)) {
            return false;
        }
        boolean isFenced = read.checksFencing() && state.highestFencing() >= intent.number();
        return isFenced || order.executesBefore().hasPassed(read.requestedAtNanos());
    }

    /** An unload takes effect only when the model has left the memory, so that it stays open after it has begun. */
    private static boolean isUnloading(Intent intent, EngineState state) {
        return intent.action() == Intent.Action.UNLOAD
                && state.find(intent.accelerator(), intent.model(), intent.version())
                        .filter(model -> !model.ready() && model.lastOrderNumber() == intent.number())
                        .isPresent();
    }

    /**
     * Returns the last state read from an engine.
     *
     * @param server the name of the engine
     * @return the state, or empty if none was read
     */
    Optional<StateRead> lastState(BackendServerName server) {
        return Optional.ofNullable(lastStates.get(server));
    }

    /**
     * Returns the open orders.
     *
     * @return a copy, sorted by number
     */
    List<OpenOrder> openOrders() {
        return List.copyOf(openOrders.values());
    }

    /**
     * Returns the memory of an accelerator that may be in use, including what open orders may still load.
     *
     * @param server the name of the engine
     * @param accelerator the name of the accelerator
     * @return the memory in bytes, {@link Long#MAX_VALUE} if the state of the engine was never read
     */
    long maxUsedBytes(BackendServerName server, String accelerator) {
        StateRead read = lastStates.get(server);
        if (read == null) {
            return Long.MAX_VALUE;
        }
        Map<OrderKey, Long> pendingBytes = new HashMap<>();
        for (OpenOrder order : openOrders.values()) {
            Intent intent = order.intent();
            boolean isOnAccelerator =
                    intent.server().equals(server) && intent.accelerator().equals(accelerator);
            if (isOnAccelerator && order.allocatesMemory() && !isPresent(intent, read.state())) {
                pendingBytes.merge(OrderKey.of(intent), intent.memoryBytes(), Math::max);
            }
        }
        long usedBytes = read.state().usedBytes(accelerator);
        return usedBytes
                + pendingBytes.values().stream().mapToLong(Long::longValue).sum();
    }

    /** Returns whether the memory in use already includes what the order loads. */
    private static boolean isPresent(Intent intent, EngineState state) {
        return state.find(intent.accelerator(), intent.model(), intent.version())
                .filter(model -> intent.adapter().isEmpty() || model.adapters().contains(intent.adapter()))
                .isPresent();
    }

    /**
     * Drops the states of engines that are gone. Their open orders stay.
     *
     * @param knownEngines the engines that are still known
     */
    void retainStatesOf(Set<BackendServerName> knownEngines) {
        lastStates.keySet().retainAll(knownEngines);
    }
}
