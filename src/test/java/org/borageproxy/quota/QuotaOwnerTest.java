package org.borageproxy.quota;

import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.borageproxy.quota.CreditReply.Status;
import org.borageproxy.time.Deadline;
import org.borageproxy.tree.Workspace;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests grants, refunds, write-offs and replayed replies of an owner. */
class QuotaOwnerTest {

    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1_000 * MILLI;
    private static final Workspace WORKSPACE = VirtualFleet.workspace("w", 1_000, 400);

    private final QuotaOwner owner =
            new QuotaOwner(3, QuotaSettings.DEFAULT, Map.of("w", WORKSPACE), Map.of("w", 400L), 0);

    private static CreditRequest request(String session, long sequence, long accepted, long spent, long needed) {
        return new CreditRequest(0, 3, session, sequence, "w", accepted, spent, 0, needed, needed, 0, List.of());
    }

    private CreditReply answer(CreditRequest request, long nowNanos, long leaseEndNanos) {
        return owner.answer(request, WORKSPACE, new Deadline(leaseEndNanos), false, nowNanos);
    }

    @Test
    void creditExpiresBeforeOwnerLeaseEndsAndIsNotGrantedAfterwards() {
        CreditReply reply = answer(request("a", 1, 0, 0, 100), 0, 500 * MILLI);
        assertEquals(100, reply.granted());
        assertTrue(reply.lifetimeNanos() < 500 * MILLI, "lifetime in nanoseconds: " + reply.lifetimeNanos());
        assertEquals(
                Status.NOT_OWNER,
                answer(request("a", 2, 100, 100, 100), 500 * MILLI, 500 * MILLI).status());
    }

    @Test
    void repeatedRequestGrantsOnceAndOutdatedRequestIsRejected() {
        CreditReply first = answer(request("a", 1, 0, 0, 300), 0, 9 * SECOND);
        assertEquals(first, answer(request("a", 1, 0, 0, 300), 5 * MILLI, 9 * SECOND));
        assertEquals(300, owner.outstanding("w"));
        answer(request("a", 2, 300, 300, 0), 6 * MILLI, 9 * SECOND);
        assertEquals(
                Status.OUTDATED,
                answer(request("a", 1, 0, 0, 300), 7 * MILLI, 9 * SECOND).status());
        assertEquals(0, owner.outstanding("w"));
    }

    @Test
    void grantNotReceivedByEntryIsReturnedToBucket() {
        answer(request("a", 1, 0, 0, 400), 0, 9 * SECOND);
        CreditReply again = answer(request("a", 2, 0, 0, 400), MILLI, 9 * SECOND);
        assertEquals(400, again.granted());
        assertEquals(400, owner.outstanding("w"));
    }

    @Test
    void creditOfUnresponsiveEntryStaysOutstandingUntilWriteOff() {
        answer(request("a", 1, 0, 0, 400), 0, 9 * SECOND);
        CreditReply early = answer(request("b", 1, 0, 0, 1), 2 * SECOND, 9 * SECOND);
        assertEquals(0, early.granted(), "the outstanding credit is the whole burst");
        CreditReply late = answer(request("b", 2, 0, 0, 1), 2_200 * MILLI, 9 * SECOND);
        assertEquals(0, late.granted(), "the bucket starts to fill only after the write-off");
        assertEquals(
                1, answer(request("b", 3, 0, 0, 1), 2_300 * MILLI, 9 * SECOND).granted());
    }

    @Test
    void newOwnerWithoutHandoverStartsWithEmptyBucket() {
        QuotaOwner successor = new QuotaOwner(4, QuotaSettings.DEFAULT, Map.of("w", WORKSPACE), Map.of(), 0);
        CreditRequest asked = new CreditRequest(0, 4, "a", 1, "w", 0, 0, 0, 10, 10, 0, List.of());
        assertEquals(
                0,
                successor
                        .answer(asked, WORKSPACE, new Deadline(9 * SECOND), false, 0)
                        .granted());
    }

    @Test
    void onlyTokensSpentSinceBucketWasLastFullAreRefunded() {
        TokenBucket bucket = new TokenBucket(1_000, 400, 400, 0);
        bucket.grant(300);
        bucket.spend(300);
        bucket.refill(SECOND);
        bucket.grant(400);
        bucket.spend(400);
        bucket.refund(0, 300);
        assertEquals(0, bucket.level());
        bucket.refill(SECOND + 300 * MILLI);
        bucket.refund(SECOND, 50);
        assertEquals(350, bucket.level(), "tokens spent after the bucket was full are refunded");
    }

    @Property(seed = "42", tries = 300)
    void spendingStaysWithinBucketForAnySettlementOrder(@ForAll Random random) {
        TokenBucket bucket = new TokenBucket(1_000, 400, 400, 0);
        long[] atNanos = new long[200];
        long[] used = new long[200];
        long[] reserved = new long[200];
        boolean[] settled = new boolean[200];
        long nowNanos = 0;
        for (int index = 0; index < 200; index++) {
            nowNanos += random.nextInt(random.nextInt(10) == 0 ? 800 : 60) * MILLI;
            bucket.refill(nowNanos);
            long tokens = Math.min(bucket.level(), random.nextInt(200));
            bucket.grant(tokens);
            bucket.spend(tokens);
            atNanos[index] = nowNanos;
            reserved[index] = tokens;
            used[index] = tokens;
            int other = random.nextInt(index + 1);
            if (!settled[other] && random.nextBoolean()) {
                settled[other] = true;
                used[other] = reserved[other] == 0 ? 0 : random.nextInt((int) reserved[other] + 1);
                bucket.refund(atNanos[other], reserved[other] - used[other]);
            }
        }
        double level = 0;
        for (int index = 0; index < 200; index++) {
            long before = index == 0 ? 0 : atNanos[index - 1];
            level = Math.max(0, level - 1_000 * (atNanos[index] - before) / 1e9) + used[index];
            assertTrue(level <= 400 + 1e-3, "required a burst of " + level);
        }
    }
}
