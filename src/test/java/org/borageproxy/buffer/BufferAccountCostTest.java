package org.borageproxy.buffer;

import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.function.IntConsumer;

import org.borageproxy.execution.RequestDigest;
import org.borageproxy.time.Deadline;
import org.borageproxy.time.MonotonicClock;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Benchmark of the account, stated as a ratio to the fingerprint that every forwarded request is given. Prints the cost
 * in nanoseconds as well.
 */
class BufferAccountCostTest {

    private static final int ROUNDS = 9;
    private static final int REQUESTS = 40_000;
    private static final int CONCURRENT_REQUESTS = 500;
    /** Size of a request of an urgent stream. */
    private static final byte[] BODY = "prompt ".repeat(140).getBytes(StandardCharsets.UTF_8);

    private final MonotonicClock clock = MonotonicClock.ofSystem();
    private final BufferAccount account = BufferFixture.account(clock);
    private final String[] names = new String[64];

    /** Guards against an account whose cost grows with the number of requests in flight. */
    @Test
    void accountCostsLessThanTheFingerprintOfARequest() {
        Arrays.setAll(names, index -> "name-" + index);
        for (int request = 0; request < CONCURRENT_REQUESTS; request++) {
            account.open(owner(request)).grow(1_000);
        }
        double[] accountNanos = new double[ROUNDS];
        double[] fingerprintNanos = new double[ROUNDS];
        for (int round = 0; round < ROUNDS; round++) {
            accountNanos[round] = measure(this::forward);
            fingerprintNanos[round] = measure(request -> RequestDigest.fingerprint(names[request % 64], "/path", BODY));
        }
        double accountCost = median(accountNanos);
        double fingerprintCost = median(fingerprintNanos);
        System.out.printf(
                "account %.0f ns, fingerprint %.0f ns, ratio %.2f%n",
                accountCost, fingerprintCost, accountCost / fingerprintCost);
        assertTrue(accountCost < fingerprintCost, "ratio " + accountCost / fingerprintCost);
    }

    private BufferOwner owner(int request) {
        return new BufferOwner(names[request % 64], names[request % 16], "", new RefusalCost(4, new Deadline(request)));
    }

    /** What a request does with a body of one part, a kept answer of two parts and no slow reader. */
    private void forward(int request) {
        BufferOwner owner = owner(request);
        Reservation reservation = account.open(owner);
        if (!account.mayBegin(owner) || reservation.grow(1_000).isPresent()) {
            throw new AssertionError("refused");
        }
        reservation.record(300);
        reservation.record(300);
        reservation.shrink(600);
        reservation.release();
    }

    private static double measure(IntConsumer operation) {
        // Processor time, since other processes share the cores.
        long startedAtNanos = ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime();
        for (int request = 0; request < REQUESTS; request++) {
            operation.accept(request);
        }
        return (double) (ManagementFactory.getThreadMXBean().getCurrentThreadCpuTime() - startedAtNanos) / REQUESTS;
    }

    private static double median(double[] values) {
        Arrays.sort(values);
        return values[values.length / 2];
    }
}
