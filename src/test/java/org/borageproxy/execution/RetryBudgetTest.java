package org.borageproxy.execution;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks that retries stay within the budget. */
class RetryBudgetTest {

    @Property(seed = "42", tries = 100)
    void retriesStayWithinTrafficRatioPlusReserve(
            @ForAll @IntRange(max = 500) int requests, @ForAll @IntRange(max = 5) int retriesPerRequest) {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int retries = 0;
        for (int request = 0; request < requests; request++) {
            budget.deposit();
            for (int retry = 0; retry < retriesPerRequest; retry++) {
                retries += budget.tryWithdraw() ? 1 : 0;
            }
        }
        assertTrue(retries <= 10 + 0.1 * requests + 1e-6);
    }
}
