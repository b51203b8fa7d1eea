package org.borageproxy.quota;

import java.util.concurrent.CompletableFuture;

import org.borageproxy.quota.CreditReply.Status;
import org.borageproxy.time.Deadline;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests when an entry spends, drops and requests credit. */
class CreditLedgerTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;

    private final CreditLedger ledger =
            new CreditLedger("run", 0, VirtualFleet.workspace("w", 1_000, 400), QuotaSettings.DEFAULT, 0);

    private CreditRequest ask(long tokens) {
        ledger.nextRequest(3, 0);
        ledger.enqueue(new PendingReservation(tokens, 0, new Deadline(9 * SECOND), new CompletableFuture<>()));
        return ledger.nextRequest(3, 0).orElseThrow();
    }

    private static CreditReply grant(CreditRequest request, long tokens) {
        return new CreditReply(Status.GRANTED, request.epoch(), request.sequence(), 0, tokens, SECOND, 0, false);
    }

    @Test
    void creditIsSpentOnlyBeforeItExpires() {
        CreditRequest request = ask(10);
        ledger.handleReply(grant(request, 30), 900 * MILLI);
        assertEquals(1, ledger.decidePending(900 * MILLI).size());
        assertTrue(ledger.trySpend(10, 999 * MILLI).isPresent());
        assertTrue(ledger.trySpend(10, SECOND).isEmpty(), "the lifetime counts from the time of the request");
    }

    @Test
    void expiredOutdatedAndDuplicateGrantsAreIgnored() {
        CreditRequest request = ask(10);
        ledger.handleReply(grant(request, 30), SECOND);
        assertEquals(0, ledger.availableTokens(), "the grant had expired");
        CreditRequest second = ledger.nextRequest(3, SECOND).orElseThrow();
        assertTrue(second.sequence() > request.sequence());
        ledger.handleReply(grant(request, 30), SECOND);
        assertEquals(0, ledger.availableTokens(), "the first request was already answered");
        ledger.handleReply(grant(second, 30), SECOND + MILLI);
        ledger.handleReply(grant(second, 30), SECOND + MILLI);
        assertEquals(30, ledger.availableTokens(), "a repeated grant counts once");
    }

    @Test
    void creditOfPreviousOwnerIsDiscardedAndNoRequestGoesToIt() {
        CreditRequest request = ask(10);
        ledger.handleReply(grant(request, 30), MILLI);
        ledger.nextRequest(4, 2 * MILLI);
        assertEquals(0, ledger.availableTokens());
        assertTrue(ledger.nextRequest(3, 2 * MILLI).isEmpty(), "no request is sent to an older owner");
    }

    @Test
    void unansweredRequestIsResentUnchangedAfterRetryInterval() {
        CreditRequest request = ask(10);
        assertTrue(ledger.nextRequest(3, 99 * MILLI).isEmpty());
        assertEquals(request, ledger.nextRequest(3, 100 * MILLI).orElseThrow());
    }
}
