package org.borageproxy.execution;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

import static org.junit.jupiter.api.Assertions.assertTrue;

/** Checks the bound on retries. */
class RetryBudgetTest {

    @Property(seed = "42", tries = 100)
    void retriesStayWithinTheShareOfTheTrafficAndTheReserve(
            @ForAll @IntRange(max = 500) int requests, @ForAll @IntRange(max = 5) int wishedPerRequest) {
        RetryBudget budget = new RetryBudget(0.1, 10);
        int retries = 0;
        for (int request = 0; request < requests; request++) {
            budget.deposit();
            for (int wish = 0; wish < wishedPerRequest; wish++) {
                retries += budget.tryWithdraw() ? 1 : 0;
            }
        }
        assertTrue(retries <= 10 + 0.1 * requests + 1e-6);
    }
}
