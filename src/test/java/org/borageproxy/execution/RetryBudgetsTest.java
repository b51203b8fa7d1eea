package org.borageproxy.execution;

import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Checks the share of an entry in the retries of a fleet that may spend 60 beyond its ratio, of which 36 are shared.
 */
class RetryBudgetsTest {

    private static final String SERVICE = "engines";

    private final RetryBudgets budgets = new RetryBudgets(0.2, 60);

    private int withdrawAll() {
        int retries = 0;
        while (budgets.of(SERVICE).tryWithdraw()) {
            retries++;
        }
        return retries;
    }

    /**
     * Guards against streams that are not resumed at an entry that has just started: a request came before the first
     * update of the coordinator, so that the entry kept the small share of an assumed number of entries.
     */
    @Test
    void requestBeforeTheFirstUpdateDoesNotReduceTheShare() {
        budgets.of(SERVICE).deposit();
        budgets.setEntryCount(2);
        assertEquals(18, withdrawAll());
    }

    /** Guards against retries beyond the share: those before the first update count. */
    @Test
    void retriesBeforeTheFirstUpdateCount() {
        assertEquals(2, withdrawAll());
        budgets.setEntryCount(2);
        assertEquals(16, withdrawAll());
    }

    /** Guards against retries beyond the share if there are more entries than assumed. */
    @Test
    void shareShrinksToThatOfManyEntries() {
        assertTrue(budgets.of(SERVICE).tryWithdraw());
        budgets.setEntryCount(32);
        assertEquals(0, withdrawAll());
    }

    /** Guards against a refill by each new coordinator, which counts the entries from one on. */
    @Test
    void entriesCountedAnewDoNotRefillTheShare() {
        budgets.setEntryCount(2);
        assertEquals(18, withdrawAll());
        for (int coordinator = 0; coordinator < 5; coordinator++) {
            budgets.setEntryCount(1);
            budgets.setEntryCount(2);
        }
        assertEquals(0, withdrawAll());
    }

    /** Guards against a refill by a first update that comes before the other entries are counted. */
    @Test
    void firstCountBelowTheFinalOneLeavesNoMoreThanTheShare() {
        budgets.of(SERVICE).deposit();
        budgets.setEntryCount(1);
        budgets.setEntryCount(2);
        assertEquals(18, withdrawAll());
    }

    /**
     * Load pattern: all servers fail at once for a fleet of 64 and one of 370 entries, each of which has a share of
     * less than one retry. Guards against entries of a large fleet that retry nothing, so that no broken stream goes
     * on, and against a fleet that spends more than it may.
     */
    @Test
    void largeFleetSpendsItsShareAndNoMoreThanItMay() {
        for (int entries : new int[] {64, 370}) {
            for (int seed = 1; seed <= 20; seed++) {
                Random random = new Random(seed);
                int requests = 0;
                int retries = 0;
                for (int entry = 0; entry < entries; entry++) {
                    RetryBudgets share = new RetryBudgets(0.2, 60, random::nextDouble);
                    share.setEntryCount(entries);
                    for (int request = 0; request < 10; request++) {
                        requests++;
                        share.of(SERVICE).deposit();
                        retries += share.of(SERVICE).tryWithdraw() ? 1 : 0;
                    }
                }
                int permitted = (int) (60 + 0.2 * requests);
                assertTrue(retries <= permitted, retries + " of " + permitted + ", seed " + seed);
                assertTrue(retries >= 18, retries + " with " + entries + " entries, seed " + seed);
            }
        }
    }
}
