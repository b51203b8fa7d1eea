package org.borageproxy.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

import org.borageproxy.engine.OrderResult;
import org.borageproxy.event.Event;
import org.borageproxy.membership.BackendServer;
import org.borageproxy.membership.BackendServerName;

/**
 * Gives the orders of a plan, to each engine one after the other. Each intent counts in the ledger from before it is
 * recorded, and is recorded durably before its order is sent. Confined to the owner's executor.
 */
final class OrderDispatcher {

    /** What the owner works with. */
    private final PlacementDependencies parts;
    /** Runs one task at a time. */
    private final Executor executor;
    /** The epoch of the placement duty. */
    private final long epoch;
    /** What may be in memory. */
    private final Ledger ledger;
    /** Asked by any thread right before an order is sent. */
    private final BooleanSupplier holdsLease;
    /** Tells whether an order may still be given as things stand now. */
    private final Predicate<Intent> stillSafe;
    /** What to do after the events of a chain. */
    private final Listener listener;
    /** The engines that orders are being given to. */
    private final Set<BackendServerName> ordering = new HashSet<>();
    /** The orders whose resolution is not durable yet. */
    private final Set<Long> unresolved = new HashSet<>();
    /** Whether resolutions are being recorded. */
    private boolean resolving;
    /** The last number given to an intent without a number of the store; negative. */
    private long provisional;

    /**
     * Creates an idle dispatcher.
     *
     * @param parts what the owner works with
     * @param executor runs one task at a time
     * @param epoch the epoch of the placement duty
     * @param ledger what may be in memory
     * @param holdsLease asked by any thread right before an order is sent
     * @param stillSafe tells whether an order may still be given as things stand now
     * @param listener what to do after the events of a chain
     */
    OrderDispatcher(
            PlacementDependencies parts,
            Executor executor,
            long epoch,
            Ledger ledger,
            BooleanSupplier holdsLease,
            Predicate<Intent> stillSafe,
            Listener listener) {
        this.parts = parts;
        this.executor = executor;
        this.epoch = epoch;
        this.ledger = ledger;
        this.holdsLease = holdsLease;
        this.stillSafe = stillSafe;
        this.listener = listener;
    }

    /** Hears what becomes of orders, on the owner's executor. */
    interface Listener {

        /**
         * Called when all orders of a plan for an engine were given.
         *
         * @param engine the engine
         */
        void dispatched(BackendServerName engine);

        /** Called when it is unknown whether an intent was recorded. */
        void recordOutcomeUnknown();
    }

    /**
     * Tells whether orders are being given to an engine.
     *
     * @param engine the engine
     * @return {@code true} while they are
     */
    boolean isDispatching(BackendServerName engine) {
        return ordering.contains(engine);
    }

    /**
     * Gives orders to an engine, one after the other.
     *
     * @param engine the engine
     * @param orders the orders
     * @param nowNanos the reading of the monotonic clock in nanoseconds
     */
    void dispatch(BackendServer engine, List<PlannedOrder> orders, long nowNanos) {
        ordering.add(engine.name());
        Queue<Intent> queue = new ArrayDeque<>();
        for (PlannedOrder order : orders) {
            provisional--;
            Intent intent = withNumber(order.intent(epoch, engine.incarnation()), provisional);
            ledger.addRecorded(intent, nowNanos);
            queue.add(intent);
            parts.events().record(event(order));
        }
        next(engine, queue);
    }

    /**
     * Records the next intent of a chain.
     *
     * @param engine the engine
     * @param queue the intents that remain
     */
    private void next(BackendServer engine, Queue<Intent> queue) {
        Intent intent = queue.poll();
        if (intent == null) {
            ordering.remove(engine.name());
            listener.dispatched(engine.name());
            return;
        }
        if (!holdsLease.getAsBoolean()) {
            forget(intent);
            next(engine, queue);
            return;
        }
        parts.ledgerStore()
                .record(intent)
                .whenCompleteAsync(
                        (recorded, failure) -> {
                            forget(intent);
                            if (recorded == null) {
                                listener.recordOutcomeUnknown();
                                next(engine, queue);
                            } else if (recorded.isEmpty()) {
                                next(engine, queue);
                            } else {
                                send(engine, recorded.get(), queue);
                            }
                        },
                        executor);
    }

    /**
     * Removes an intent that has no number of the store.
     *
     * @param intent the intent
     */
    private void forget(Intent intent) {
        ledger.applyResult(
                intent.number(), new OrderResult.NotSent(), parts.clock().nanoTime());
    }

    /**
     * Sends the order of a recorded intent.
     *
     * @param engine the engine
     * @param intent the intent
     * @param queue the intents that remain
     */
    private void send(BackendServer engine, Intent intent, Queue<Intent> queue) {
        ledger.addRecorded(intent, parts.clock().nanoTime());
        if (!stillSafe.test(intent)) {
            sent(engine, intent, new OrderResult.NotSent(), queue);
            return;
        }
        parts.orderClient()
                .sendOrder(engine, intent, holdsLease)
                .whenCompleteAsync(
                        (result, failure) ->
                                sent(engine, intent, result == null ? new OrderResult.Unknown() : result, queue),
                        executor);
    }

    /**
     * Takes what is known of an order after it was sent.
     *
     * @param engine the engine
     * @param intent the intent
     * @param result what is known
     * @param queue the intents that remain
     */
    private void sent(BackendServer engine, Intent intent, OrderResult result, Queue<Intent> queue) {
        if (ledger.applyResult(intent.number(), result, parts.clock().nanoTime())) {
            addResolved(List.of(intent.number()));
        }
        if (!(result instanceof OrderResult.Accepted)) {
            parts.events()
                    .record(Event.named("order-not-accepted")
                            .with("order", intent.number())
                            .with("server", engine.name())
                            .with("result", result));
        }
        next(engine, queue);
    }

    /**
     * Takes the numbers of orders that are resolved.
     *
     * @param numbers the numbers
     */
    void addResolved(List<Long> numbers) {
        numbers.stream().filter(number -> number > 0).forEach(unresolved::add);
    }

    /** Makes the resolutions durable that are not yet. */
    void recordResolutions() {
        if (resolving || unresolved.isEmpty()) {
            return;
        }
        resolving = true;
        List<Long> numbers = new ArrayList<>(unresolved);
        parts.ledgerStore()
                .resolve(epoch, numbers)
                .whenCompleteAsync(
                        (done, failure) -> {
                            resolving = false;
                            if (failure == null) {
                                numbers.forEach(unresolved::remove);
                            }
                        },
                        executor);
    }

    /**
     * Tells whether the resolution of an order waits to be durable.
     *
     * @param number the order's number
     * @return {@code true} if it is resolved
     */
    boolean isResolutionPending(long number) {
        return unresolved.contains(number);
    }

    /**
     * Returns an intent with a number.
     *
     * @param intent the intent
     * @param number the number
     * @return a copy with the number
     */
    private static Intent withNumber(Intent intent, long number) {
        return new Intent(
                number,
                intent.epoch(),
                intent.server(),
                intent.incarnation(),
                intent.accelerator(),
                intent.action(),
                intent.model(),
                intent.version(),
                intent.adapter(),
                intent.memoryBytes());
    }

    /**
     * Returns the event of a planned order.
     *
     * @param order the order
     * @return the event
     */
    private static Event event(PlannedOrder order) {
        return Event.named("order-planned")
                .with("action", order.action())
                .with("server", order.server())
                .with("accelerator", order.accelerator())
                .with("model", order.modelVersion().model())
                .with("version", order.modelVersion().version())
                .with(
                        "adapter",
                        Optional.of(order.adapter())
                                .filter(name -> !name.isEmpty())
                                .orElse("none"))
                .with("reason", order.reason());
    }
}
