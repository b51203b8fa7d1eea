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
 * Sends the planned orders, one at a time to each engine. Each intent reserves memory in the ledger before it is
 * recorded, and is recorded durably before its order is sent. Confined to the executor of the placement owner.
 */
final class OrderDispatcher {

    private final PlacementDependencies dependencies;
    private final Executor executor;
    private final long epoch;
    private final Ledger ledger;
    /** Checked before an intent is recorded, and again by the sending thread right before the order is sent. */
    private final BooleanSupplier holdsLease;
    /** Repeats the safety check after recording, since the fleet may have changed since the plan. */
    private final Predicate<Intent> isStillSafe;

    private final Listener listener;
    /** The engines with orders in progress. */
    private final Set<BackendServerName> dispatching = new HashSet<>();
    /** The resolved orders whose resolution is not yet durable. */
    private final Set<Long> pendingResolutions = new HashSet<>();

    private boolean isRecordingResolutions;
    /** Negative, so that it can't equal a number assigned by the store. */
    private long lastProvisionalNumber;

    /**
     * Creates an idle dispatcher.
     *
     * @param dependencies the collaborators of the placement owner
     * @param executor runs tasks one at a time
     * @param epoch the epoch of the placement duty
     * @param ledger tracks the memory reserved by orders
     * @param holdsLease returns whether this VM still holds the placement duty; called by any thread
     * @param isStillSafe returns whether an order may still be sent in the current state of the fleet
     * @param listener receives the progress
     */
    OrderDispatcher(
            PlacementDependencies dependencies,
            Executor executor,
            long epoch,
            Ledger ledger,
            BooleanSupplier holdsLease,
            Predicate<Intent> isStillSafe,
            Listener listener) {
        this.dependencies = dependencies;
        this.executor = executor;
        this.epoch = epoch;
        this.ledger = ledger;
        this.holdsLease = holdsLease;
        this.isStillSafe = isStillSafe;
        this.listener = listener;
    }

    /** Receives the progress of orders, on the executor of the placement owner. */
    interface Listener {

        /**
         * Called after all orders of a plan for an engine have been sent or dropped.
         *
         * @param engine the engine
         */
        void dispatched(BackendServerName engine);

        /** Called if it is unknown whether an intent has been recorded. */
        void recordOutcomeUnknown();
    }

    /**
     * Returns whether orders for an engine are in progress.
     *
     * @param engine the engine
     * @return {@code true} until all of them have been sent or dropped
     */
    boolean isDispatching(BackendServerName engine) {
        return dispatching.contains(engine);
    }

    /**
     * Sends orders to an engine, one after the other.
     *
     * @param engine the engine
     * @param orders the orders
     * @param nowNanos the time on the monotonic clock in nanoseconds
     */
    void dispatch(BackendServer engine, List<PlannedOrder> orders, long nowNanos) {
        dispatching.add(engine.name());
        Queue<Intent> queue = new ArrayDeque<>();
        for (PlannedOrder order : orders) {
            lastProvisionalNumber--;
            Intent intent = withNumber(order.intent(epoch, engine.incarnation()), lastProvisionalNumber);
            ledger.addRecorded(intent, nowNanos);
            queue.add(intent);
            dependencies.events().record(event(order));
        }
        recordNext(engine, queue);
    }

    private void recordNext(BackendServer engine, Queue<Intent> queue) {
        Intent intent = queue.poll();
        if (intent == null) {
            dispatching.remove(engine.name());
            listener.dispatched(engine.name());
            return;
        }
        if (!holdsLease.getAsBoolean()) {
            discard(intent);
            recordNext(engine, queue);
            return;
        }
        dependencies
                .ledgerStore()
                .record(intent)
                .whenCompleteAsync(
                        (recorded, failure) -> {
                            discard(intent);
                            if (recorded == null) {
                                listener.recordOutcomeUnknown();
                                recordNext(engine, queue);
                            } else if (recorded.isEmpty()) {
                                recordNext(engine, queue);
                            } else {
                                send(engine, recorded.get(), queue);
                            }
                        },
                        executor);
    }

    /** Removes an intent with a provisional number. */
    private void discard(Intent intent) {
        ledger.applyResult(
                intent.number(), new OrderResult.NotSent(), dependencies.clock().nanoTime());
    }

    private void send(BackendServer engine, Intent intent, Queue<Intent> queue) {
        ledger.addRecorded(intent, dependencies.clock().nanoTime());
        if (!isStillSafe.test(intent)) {
            onResult(engine, intent, new OrderResult.NotSent(), queue);
            return;
        }
        dependencies
                .orderClient()
                .sendOrder(engine, intent, holdsLease)
                .whenCompleteAsync(
                        (result, failure) ->
                                onResult(engine, intent, result == null ? new OrderResult.Unknown() : result, queue),
                        executor);
    }

    private void onResult(BackendServer engine, Intent intent, OrderResult result, Queue<Intent> queue) {
        if (ledger.applyResult(intent.number(), result, dependencies.clock().nanoTime())) {
            addResolved(List.of(intent.number()));
        }
        if (!(result instanceof OrderResult.Accepted)) {
            dependencies
                    .events()
                    .record(Event.named("order-not-accepted")
                            .with("order", intent.number())
                            .with("server", engine.name())
                            .with("result", result));
        }
        recordNext(engine, queue);
    }

    /**
     * Queues the resolutions of orders to be made durable.
     *
     * @param numbers the numbers of the orders; provisional ones are ignored
     */
    void addResolved(List<Long> numbers) {
        numbers.stream().filter(number -> number > 0).forEach(pendingResolutions::add);
    }

    /** Makes the queued resolutions durable, unless an earlier call is still in progress. */
    void recordResolutions() {
        if (isRecordingResolutions || pendingResolutions.isEmpty()) {
            return;
        }
        isRecordingResolutions = true;
        List<Long> numbers = new ArrayList<>(pendingResolutions);
        dependencies
                .ledgerStore()
                .resolve(epoch, numbers)
                .whenCompleteAsync(
                        (ignored, failure) -> {
                            isRecordingResolutions = false;
                            if (failure == null) {
                                numbers.forEach(pendingResolutions::remove);
                            }
                        },
                        executor);
    }

    /**
     * Returns whether an order is resolved but its resolution is not yet durable.
     *
     * @param number the number of the order
     * @return {@code true} until the resolution is durable
     */
    boolean isResolutionPending(long number) {
        return pendingResolutions.contains(number);
    }

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
