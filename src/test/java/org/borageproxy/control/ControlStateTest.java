package org.borageproxy.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.borageproxy.execution.Suspicion;
import org.borageproxy.wire.proto.ControlProtocol.AcquireLease;
import org.borageproxy.wire.proto.ControlProtocol.Answer;
import org.borageproxy.wire.proto.ControlProtocol.ApplyTree;
import org.borageproxy.wire.proto.ControlProtocol.Claim;
import org.borageproxy.wire.proto.ControlProtocol.ClaimReply;
import org.borageproxy.wire.proto.ControlProtocol.ClearCrash;
import org.borageproxy.wire.proto.ControlProtocol.Command;
import org.borageproxy.wire.proto.ControlProtocol.CompleteClaim;
import org.borageproxy.wire.proto.ControlProtocol.CreateKey;
import org.borageproxy.wire.proto.ControlProtocol.EndClaim;
import org.borageproxy.wire.proto.ControlProtocol.IntentRecord;
import org.borageproxy.wire.proto.ControlProtocol.Item;
import org.borageproxy.wire.proto.ControlProtocol.RecordIntent;
import org.borageproxy.wire.proto.ControlProtocol.ReleaseLease;
import org.borageproxy.wire.proto.ControlProtocol.Reply;
import org.borageproxy.wire.proto.ControlProtocol.ReportCrash;
import org.borageproxy.wire.proto.ControlProtocol.Rollback;
import org.borageproxy.wire.proto.ControlProtocol.WithdrawKey;
import org.borageproxy.wire.proto.ControlProtocol.ZoneOrder;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests change identities, claims, leases, the intent ledger, crash reports and snapshots of {@link ControlState}. */
class ControlStateTest {

    private static final long START = 1_700_000_000_000L;

    private final ControlState state = new ControlState();
    private long index;
    private long now = START;

    private static Reply decode(ByteString reply) {
        try {
            return Reply.parseFrom(reply);
        } catch (InvalidProtocolBufferException exception) {
            throw new AssertionError(exception);
        }
    }

    private Reply submit(Command.Builder command) {
        index++;
        return decode(
                state.apply(index, now, command.setIdentity("c" + index).build().toByteString()));
    }

    private Reply apply(String identity, long base, String document) {
        return submit(Command.newBuilder().setApplyTree(tree(identity, base, document)));
    }

    private static ApplyTree.Builder tree(String identity, long base, String document) {
        return ApplyTree.newBuilder()
                .setChangeIdentity(identity)
                .setBaseRevision(base)
                .setDocument(document)
                .setOperator("by-" + identity);
    }

    private ClaimReply claim(String key, String digest, long createdAt) {
        return submit(Command.newBuilder().setClaim(claimOf(key, digest, createdAt)))
                .getClaim();
    }

    private static Claim.Builder claimOf(String key, String digest, long createdAt) {
        return Claim.newBuilder()
                .setWorkspace("w")
                .setIdempotencyKey(key)
                .setDigest(digest)
                .setCreatedAtMillis(createdAt)
                .setHolder("e1")
                .setHoldMillis(5_000);
    }

    private static EndClaim.Builder end(String key, long epoch) {
        return EndClaim.newBuilder().setWorkspace("w").setIdempotencyKey(key).setEpoch(epoch);
    }

    private Reply acquire(String session, long expiredRenewal) {
        return submit(Command.newBuilder()
                .setAcquireLease(AcquireLease.newBuilder()
                        .setDuty("placement")
                        .setHolder(session)
                        .setSession(session)
                        .setExpiredRenewal(expiredRenewal)));
    }

    @Test
    void changesWithEqualBaseRevisionAcceptOnlyTheFirst() {
        assertEquals(1, apply("a", 0, "x").getAccepted().getRevision());
        Reply lost = apply("b", 0, "y");
        assertEquals(1, lost.getChangeConflict().getCurrentRevision());
        assertEquals("a", lost.getChangeConflict().getHolder());
        assertEquals(2, apply("b", 1, "y").getAccepted().getRevision());
    }

    @Test
    void keyCreationDoesNotMakeBaseRevisionStale() {
        apply("a", 0, "x");
        submit(Command.newBuilder()
                .setCreateKey(CreateKey.newBuilder().setChangeIdentity("k").setKeyIdentity("k")));
        assertEquals(3, apply("b", 1, "y").getAccepted().getRevision());
        assertTrue(apply("c", 9, "z").hasChangeConflict());
    }

    @Test
    void resentChangeGetsOriginalReplyAfter500ChangesAndRestore() throws Exception {
        Reply first = apply("first", 0, "x");
        for (int change = 1; change <= 500; change++) {
            assertTrue(apply("change-" + change, change, "d" + change).hasAccepted());
        }
        ControlState restarted = new ControlState();
        restarted.restore(state.snapshot());
        Command again = Command.newBuilder().setApplyTree(tree("first", 0, "x")).build();
        assertEquals(first, decode(restarted.apply(index + 1, now, again.toByteString())));
        Command other =
                Command.newBuilder().setApplyTree(tree("first", 501, "z")).build();
        Reply conflict = decode(restarted.apply(index + 2, now, other.toByteString()));
        assertEquals("by-first", conflict.getIdentityConflict().getHolder());
        assertEquals(ChangeTable.MAX_DOCUMENTS, restarted.revisions().size());
    }

    @Test
    void rollbackCreatesNewRevisionWithEarlierDocument() {
        apply("a", 0, "x");
        apply("b", 1, "y");
        Reply reply = submit(Command.newBuilder()
                .setRollback(Rollback.newBuilder()
                        .setChangeIdentity("back")
                        .setBaseRevision(2)
                        .setToRevision(1)));
        assertEquals(3, reply.getAccepted().getRevision());
        assertEquals("x", state.tree(0).orElseThrow().getDocument());
    }

    @Test
    void claimIsRegrantedOnlyAfterReleaseAndReplaysAnswerOnceCompleted() {
        ClaimReply granted = claim("k", "d", START);
        assertEquals(ClaimReply.Decision.GRANTED, granted.getDecision());
        assertEquals(ClaimReply.Decision.IN_PROGRESS, claim("k", "d", START).getDecision());
        assertEquals(ClaimReply.Decision.CONFLICT, claim("k", "e", START).getDecision());
        now += 5_000;
        assertEquals(ClaimReply.Decision.MAY_HAVE_RUN, claim("k", "d", START).getDecision());
        submit(Command.newBuilder().setReleaseClaim(end("k", granted.getEpoch())));
        ClaimReply second = claim("k", "d", START);
        assertEquals(ClaimReply.Decision.GRANTED, second.getDecision());
        assertTrue(second.getEpoch() > granted.getEpoch());
        Reply late = submit(Command.newBuilder().setReleaseClaim(end("k", granted.getEpoch())));
        assertTrue(late.hasFenced());
        Reply answered = submit(Command.newBuilder()
                .setCompleteClaim(CompleteClaim.newBuilder()
                        .setWorkspace("w")
                        .setIdempotencyKey("k")
                        .setEpoch(second.getEpoch())
                        .setAnswer(Answer.newBuilder().setStatus(201))));
        assertTrue(answered.hasDone());
        assertEquals(201, claim("k", "d", START).getAnswer().getStatus());
        submit(Command.newBuilder().setReleaseClaim(end("k", second.getEpoch())));
        assertEquals(ClaimReply.Decision.ANSWERED, claim("k", "d", START).getDecision());
    }

    @Property(seed = "42", tries = 500)
    void datedRequestIsGrantedAtMostOnceRegardlessOfResendDelay(
            @ForAll("hours") List<Integer> hoursBetween, @ForAll("skew") int skewHours) {
        ControlState fresh = new ControlState();
        long createdAt = START + skewHours * 3_600_000L;
        long time = START;
        int grants = 0;
        int number = 0;
        for (int hours : hoursBetween) {
            time += hours * 1_800_000L;
            number++;
            Command command = Command.newBuilder()
                    .setIdentity("r" + number)
                    .setClaim(claimOf("k", "d", createdAt))
                    .build();
            Reply reply = decode(fresh.apply(number, time, command.toByteString()));
            grants += reply.getClaim().getDecision() == ClaimReply.Decision.GRANTED ? 1 : 0;
        }
        assertTrue(grants <= 1, "granted " + grants + " times");
    }

    @Provide
    Arbitrary<List<Integer>> hours() {
        return Arbitraries.integers().between(0, 30).list().ofMinSize(2).ofMaxSize(12);
    }

    @Provide
    Arbitrary<Integer> skew() {
        return Arbitraries.integers().between(-30, 30);
    }

    @Test
    void repeatedCommandReturnsFirstReply() {
        Command command = Command.newBuilder()
                .setIdentity("same")
                .setClaim(claimOf("k", "d", START))
                .build();
        ByteString first = state.apply(1, now, command.toByteString());
        assertEquals(first, state.apply(2, now + 2_000, command.toByteString()));
    }

    @Test
    void leaseEpochIncreasesPerHolderAndFencesStaleIntents() {
        assertEquals(1, acquire("a", 0).getLease().getEpoch());
        assertFalse(acquire("b", 0).getLease().getGranted());
        assertEquals(1, acquire("a", 0).getLease().getEpoch());
        assertFalse(acquire("b", 1).getLease().getGranted());
        assertEquals(2, acquire("b", 2).getLease().getEpoch());
        assertFalse(acquire("a", 0).getLease().getGranted());
        assertTrue(record(1).hasFenced());
        assertEquals(1, record(2).getIntent().getNumber());
        submit(Command.newBuilder()
                .setReleaseLease(ReleaseLease.newBuilder()
                        .setDuty("placement")
                        .setSession("b")
                        .setEpoch(2)));
        assertTrue(record(2).hasFenced());
        assertEquals(3, acquire("a", 0).getLease().getEpoch());
        assertEquals(2, record(3).getIntent().getNumber());
    }

    private Reply record(long epoch) {
        return submit(Command.newBuilder()
                .setRecordIntent(RecordIntent.newBuilder()
                        .setIntent(IntentRecord.newBuilder().setEpoch(epoch))));
    }

    private Suspicion crash(String fingerprint, String server, long incarnation, boolean alone) {
        Reply reply = submit(Command.newBuilder()
                .setReportCrash(ReportCrash.newBuilder()
                        .setFingerprint(fingerprint)
                        .setServer(server)
                        .setIncarnation(incarnation)
                        .setAlone(alone)));
        return Suspicion.values()[reply.getCrash().getSuspicion()];
    }

    @Test
    void secondServerCrashQuarantinesUnlessSuspicionClearedOrExpired() {
        assertEquals(Suspicion.SUSPECT, crash("guilty", "s1", 1, false));
        assertEquals(Suspicion.SUSPECT, crash("guilty", "s1", 1, false));
        assertEquals(Suspicion.SUSPECT, crash("innocent", "s1", 1, false));
        submit(Command.newBuilder().setClearCrash(ClearCrash.newBuilder().setFingerprint("innocent")));
        assertEquals(Suspicion.SUSPECT, crash("innocent", "s1", 2, false));
        assertEquals(Suspicion.QUARANTINED, crash("guilty", "s1", 2, true));
        submit(Command.newBuilder().setClearCrash(ClearCrash.newBuilder().setFingerprint("guilty")));
        assertEquals(Suspicion.QUARANTINED, crash("guilty", "s3", 1, false));
        assertEquals(Suspicion.SUSPECT, crash("elsewhere", "s1", 1, false));
        assertEquals(Suspicion.QUARANTINED, crash("elsewhere", "s2", 1, false));
        now += CrashTable.SUSPICION_MILLIS;
        assertEquals(Suspicion.SUSPECT, crash("innocent", "s4", 1, false));
    }

    @Property(seed = "42", tries = 300)
    void incrementalChangesReproduceFullState(@ForAll("commands") List<Command> commands) {
        ControlState fresh = new ControlState();
        Map<String, Item> follower = new HashMap<>();
        long version = 0;
        for (int number = 0; number < commands.size(); number++) {
            fresh.apply(number + 1, START + number, commands.get(number).toByteString());
            if (number % 3 == 0) {
                ControlState.Changes changes = fresh.changesAfter(version);
                if (changes.full()) {
                    follower.clear();
                }
                changes.items().forEach(item -> applyItem(follower, item));
                version = changes.version();
                Map<String, Item> whole = new HashMap<>();
                fresh.changesAfter(0).items().forEach(item -> applyItem(whole, item));
                assertEquals(whole, follower);
            }
        }
    }

    private static void applyItem(Map<String, Item> items, Item item) {
        if (item.getRemoved()) {
            items.remove(item.getName());
        } else {
            items.put(item.getName(), item);
        }
    }

    @Property(seed = "42", tries = 300)
    void restoredStateRepliesLikeOriginal(@ForAll("commands") List<Command> commands) {
        ControlState original = new ControlState();
        ControlState other = new ControlState();
        for (int number = 0; number < commands.size(); number++) {
            ByteString command = commands.get(number).toByteString();
            long time = START + number * 700_000L;
            assertEquals(original.apply(number + 1, time, command), other.apply(number + 1, time, command));
            ControlState restored = new ControlState();
            restored.restore(other.snapshot());
            other = restored;
        }
    }

    @Property(seed = "42", tries = 300)
    void resentAcceptedChangesKeepTheirReplyAndRevisionsAreUnique(@ForAll("commands") List<Command> commands) {
        ControlState fresh = new ControlState();
        Map<ApplyTree, Reply> accepted = new HashMap<>();
        Set<Long> revisions = new HashSet<>();
        for (int number = 0; number < commands.size(); number++) {
            Command command = commands.get(number);
            Reply reply = decode(fresh.apply(number + 1, START, command.toByteString()));
            if (!command.hasApplyTree() || !reply.hasAccepted()) {
                continue;
            }
            ApplyTree content =
                    command.getApplyTree().toBuilder().clearBaseRevision().build();
            Reply earlier = accepted.putIfAbsent(content, reply);
            if (earlier == null) {
                assertTrue(revisions.add(reply.getAccepted().getRevision()));
            } else {
                assertEquals(earlier, reply);
            }
        }
        assertNotEquals(-1, fresh.version());
    }

    @Provide
    Arbitrary<List<Command>> commands() {
        Arbitrary<Integer> small = Arbitraries.integers().between(0, 3);
        Arbitrary<Integer> kind = Arbitraries.integers().between(0, 10);
        return Combinators.combine(kind, small, small, small)
                .as(ControlStateTest::command)
                .list()
                .ofMaxSize(40);
    }

    private static Command command(int kind, int one, int two, int three) {
        Command.Builder command = Command.newBuilder().setIdentity("i" + kind + one + two + three);
        return switch (kind) {
            case 0, 1 ->
                command.setApplyTree(tree("t" + one, two * 2L, "d" + three)).build();
            case 2 ->
                command.setCreateKey(CreateKey.newBuilder()
                                .setChangeIdentity("k" + one)
                                .setKeyIdentity("k" + two)
                                .setDigest("d" + three))
                        .build();
            case 3 ->
                command.setWithdrawKey(WithdrawKey.newBuilder().setKeyIdentity("k" + one))
                        .build();
            case 4 ->
                command.setClaim(claimOf("c" + one, "d" + two, three == 0 ? 0 : START))
                        .build();
            case 5 -> command.setReleaseClaim(end("c" + one, two)).build();
            case 6 ->
                command.setAcquireLease(AcquireLease.newBuilder()
                                .setDuty(one == 0 ? "placement" : "quota/0")
                                .setSession("s" + two)
                                .setHolder("h" + two)
                                .setExpiredRenewal(three))
                        .build();
            case 7 ->
                command.setRecordIntent(RecordIntent.newBuilder()
                                .setIntent(IntentRecord.newBuilder().setEpoch(one)))
                        .build();
            case 8 ->
                command.setClearCrash(ClearCrash.newBuilder().setFingerprint("f" + one))
                        .build();
            case 9 ->
                command.setRollback(Rollback.newBuilder()
                                .setChangeIdentity("b" + one)
                                .setBaseRevision(two)
                                .setToRevision(three))
                        .build();
            default ->
                command.setReportCrash(ReportCrash.newBuilder()
                                .setFingerprint("f" + one)
                                .setServer("s" + two)
                                .setIncarnation(three))
                        .build();
        };
    }

    private Reply orderZone(String zone, boolean isDrain) {
        ZoneOrder order = ZoneOrder.newBuilder().setZone(zone).build();
        return submit(
                isDrain
                        ? Command.newBuilder().setDrainZone(order)
                        : Command.newBuilder().setReturnZone(order));
    }

    /** Guards against a drain that is lost with the log before a snapshot, or ended by a repeated order. */
    @Test
    void drainsSurviveSnapshotsAndRepeatedOrdersChangeNothing() {
        assertTrue(orderZone("a", true).hasDone());
        assertTrue(orderZone("b", true).hasDone());
        long version = state.version();
        assertTrue(orderZone("a", true).hasDone());
        assertEquals(version, state.version());
        ControlState restarted = new ControlState();
        restarted.restore(state.snapshot());
        assertEquals(Set.of("a", "b"), restarted.drainedZones());
        assertTrue(orderZone("a", false).hasDone());
        version = state.version();
        assertTrue(orderZone("a", false).hasDone());
        assertEquals(version, state.version());
        assertEquals(Set.of("b"), state.drainedZones());
    }

    /** Guards against a member that fails at a command of a later build; it must leave its state as it was. */
    @Test
    void unknownCommandIsAnsweredAsMissingAndChangesNothing() throws Exception {
        long version = state.version();
        int unknownField = 1_000;
        byte[] command = new byte[] {(byte) (unknownField << 3 & 0x7f | 0x80 | 2), (byte) (unknownField << 3 >> 7), 0};
        assertTrue(
                decode(state.apply(++index, now, ByteString.copyFrom(command))).hasMissing());
        assertEquals(version, state.version());
    }
}
