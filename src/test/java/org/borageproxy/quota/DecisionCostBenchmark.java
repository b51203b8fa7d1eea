package org.borageproxy.quota;

import java.util.List;
import java.util.Map;
import java.util.function.LongConsumer;

import org.borageproxy.admission.DispatchQueue;
import org.borageproxy.admission.FairDispatchQueue;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.VirtualTime;
import org.borageproxy.tree.Workspace;

/** Prints the cost of a quota decision and of an admission. Run by hand; not a test. */
final class DecisionCostBenchmark {

    private static final int WARM_UP = 300_000;
    private static final int MEASURED = 1_000_000;

    private DecisionCostBenchmark() {}

    public static void main(String[] arguments) {
        for (int round = 0; round < 3; round++) {
            System.out.printf("quota, spend credit and refund: %.0f ns%n", measure(spendCredit()));
            System.out.printf("quota, reply of an owner to one of nine entries: %.0f ns%n", measure(answerRequest()));
            System.out.printf(
                    "admission, enqueue and release with a free slot: %.0f ns%n", measure(dispatchToFreeSlot()));
        }
    }

    private static double measure(LongConsumer operation) {
        for (int index = 0; index < WARM_UP; index++) {
            operation.accept(index);
        }
        long startedAtNanos = System.nanoTime();
        for (int index = WARM_UP; index < WARM_UP + MEASURED; index++) {
            operation.accept(index);
        }
        return (double) (System.nanoTime() - startedAtNanos) / MEASURED;
    }

    private static LongConsumer spendCredit() {
        Workspace workspace = VirtualFleet.workspace("w", 1_000_000_000L, 1_000_000_000L);
        CreditLedger ledger = new CreditLedger("run", 0, workspace, QuotaSettings.DEFAULT, 0);
        ledger.nextRequest(1, 0);
        ledger.enqueue(new PendingReservation(
                1_000_000_000_000L, 0, new Deadline(1), new java.util.concurrent.CompletableFuture<>()));
        CreditRequest request = ledger.nextRequest(1, 0).orElseThrow();
        long lifetimeNanos = Long.MAX_VALUE / 8;
        ledger.handleReply(
                new CreditReply(
                        CreditReply.Status.GRANTED,
                        1,
                        request.sequence(),
                        0,
                        900_000_000_000L,
                        lifetimeNanos,
                        0,
                        false),
                0);
        ledger.decidePending(2);
        return index -> {
            CreditLedger.SpendStamp stamp = ledger.trySpend(100, 3).orElseThrow();
            ledger.refund(stamp, 40);
        };
    }

    private static LongConsumer answerRequest() {
        Workspace workspace = VirtualFleet.workspace("w", 1_000_000L, 2_000_000L);
        QuotaOwner owner = new QuotaOwner(1, QuotaSettings.DEFAULT, Map.of("w", workspace), Map.of(), 0);
        long[] accepted = new long[9];
        return index -> {
            long nowNanos = index * 100_000L;
            int entry = (int) (index % 9);
            CreditRequest request = new CreditRequest(
                    0,
                    1,
                    "run-" + entry,
                    index,
                    "w",
                    accepted[entry],
                    accepted[entry],
                    0,
                    50,
                    50,
                    0,
                    List.of(new TokenRefund(Math.max(0, nowNanos - 1_000_000_000L), 10)));
            CreditReply reply =
                    owner.answer(request, workspace, new Deadline(nowNanos + 3_000_000_000L), false, nowNanos);
            accepted[entry] += reply.granted();
        };
    }

    private static LongConsumer dispatchToFreeSlot() {
        VirtualVm timers = new VirtualVm(new org.borageproxy.vm.VmName("vm"), new VirtualTime(0), 1, 0);
        FairDispatchQueue queue = new FairDispatchQueue(pool -> 16, System::nanoTime, timers);
        Deadline deadline = new Deadline(Long.MAX_VALUE / 2);
        return index -> {
            var request = new DispatchQueue.QueuedRequest("w" + index % 5, "model", 100, 0, deadline);
            queue.enqueue(request).thenAccept(decision -> {
                if (decision instanceof DispatchQueue.Decision.Dispatchable dispatchable) {
                    dispatchable.slot().release();
                }
            });
        };
    }
}
