package org.borageproxy.claim;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.borageproxy.wire.proto.CoordinationProtocol.ModelDemand;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests of {@link Claims}. */
class ClaimsTest {

    private static final long SECOND_NANOS = Duration.ofSeconds(1).toNanos();
    private static final Target MODEL = new Target("s", "m1", "");
    private static final Target ADAPTER = new Target("s", "m1", "a1");

    private final Claims claims = new Claims();

    @Test
    void claimKeepsItsBeginUntilARequestGetsASlot() {
        claims.recordRequest(MODEL, SECOND_NANOS);
        claims.recordRequest(MODEL, 20 * SECOND_NANOS);
        claims.removeExpired(40 * SECOND_NANOS);
        assertEquals(Optional.of(SECOND_NANOS), claims.sinceNanos(MODEL));
        assertEquals(1, claims.count());
        assertEquals(39_000, claims.oldestMillis());
        claims.recordGrant(MODEL, "e1", 41 * SECOND_NANOS);
        assertEquals(Optional.empty(), claims.sinceNanos(MODEL));
    }

    @Test
    void slotForOneAdapterEndsNoOtherClaim() {
        claims.recordRequest(MODEL, SECOND_NANOS);
        claims.recordRequest(ADAPTER, 2 * SECOND_NANOS);
        claims.recordGrant(MODEL, "e1", 3 * SECOND_NANOS);
        assertEquals(List.of(ADAPTER), claims.targets("s"));
        assertEquals(List.of(), claims.targets("other"));
    }

    /** A stream that is resumed needs the version that began it; its slot shows that the model is usable. */
    @Test
    void requestForAVersionHasNoClaimAndEndsOne() {
        Target ofVersion = new Target("s", "m1", "", Optional.of("v1"));
        claims.recordRequest(ofVersion, SECOND_NANOS);
        assertEquals(List.of(), claims.targets("s"));
        claims.recordRequest(MODEL, SECOND_NANOS);
        claims.recordGrant(ofVersion, "e1", 2 * SECOND_NANOS);
        assertEquals(List.of(), claims.targets("s"));
    }

    @Test
    void claimsOfAModelCountItsAdapters() {
        claims.recordRequest(MODEL, SECOND_NANOS);
        claims.recordRefusal(ADAPTER, 3 * SECOND_NANOS);
        claims.recordRefusal(ADAPTER, 5 * SECOND_NANOS);
        ModelClaim claim = claims.byModel("s", 5 * SECOND_NANOS).get("m1");
        assertEquals(new ModelClaim(SECOND_NANOS, 5 * SECOND_NANOS, 4 + 2 * 2, 1), claim);
        assertEquals(0, claims.byModel("s", 6 * SECOND_NANOS).get("m1").recentRefusals());
        assertFalse(claim.isOverdue(9 * SECOND_NANOS - 1));
        assertTrue(claim.isOverdue(9 * SECOND_NANOS));
    }

    /** Guards against places that are given to models of which nobody is known to ask again. */
    @Test
    void claimOfOneRequestIsNeverOverdue() {
        claims.recordRequest(MODEL, SECOND_NANOS);
        assertFalse(claims.byModel("s", 20 * SECOND_NANOS).get("m1").isOverdue(20 * SECOND_NANOS));
    }

    @Test
    void claimEndsLongAfterTheLatestRequest() {
        claims.recordRequest(MODEL, SECOND_NANOS);
        claims.removeExpired(31 * SECOND_NANOS - 1);
        assertEquals(1, claims.count());
        claims.removeExpired(32 * SECOND_NANOS);
        assertEquals(0, claims.count());
        assertEquals(0, claims.oldestMillis());
    }

    private static ModelDemand unserved(Target target, long millis) {
        return ModelDemand.newBuilder()
                .setService(target.service())
                .setModel(target.model())
                .setAdapter(target.adapter())
                .setUnservedMillis(millis)
                .build();
    }

    /** A new coordinator hears of claims from the entries, as long as these repeat them. */
    @Test
    void restoredClaimEndsOnceNoEntryRepeatsIt() {
        claims.restore(List.of(unserved(MODEL, 8_000), unserved(ADAPTER, 0)), 10 * SECOND_NANOS);
        assertEquals(List.of(MODEL), claims.targets("s"));
        claims.removeExpired(12 * SECOND_NANOS);
        assertEquals(List.of(MODEL), claims.targets("s"));
        claims.removeExpired(14 * SECOND_NANOS);
        assertEquals(List.of(), claims.targets("s"));
    }

    @Test
    void restoredClaimCountsFromItsEarliestKnownBegin() {
        claims.recordRequest(MODEL, 9 * SECOND_NANOS);
        claims.recordRequest(ADAPTER, 8 * SECOND_NANOS);
        claims.restore(List.of(unserved(MODEL, 8_000), unserved(ADAPTER, 1_000)), 10 * SECOND_NANOS);
        assertEquals(Optional.of(2 * SECOND_NANOS), claims.sinceNanos(MODEL));
        assertEquals(Optional.of(8 * SECOND_NANOS), claims.sinceNanos(ADAPTER));
        assertEquals(List.of(MODEL, ADAPTER), claims.targets("s"));
    }
}
