package org.borageproxy.control;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.PriorityQueue;

import org.borageproxy.execution.ClaimKey;
import org.borageproxy.wire.proto.ControlProtocol.Answer;
import org.borageproxy.wire.proto.ControlProtocol.Claim;
import org.borageproxy.wire.proto.ControlProtocol.ClaimReply;
import org.borageproxy.wire.proto.ControlProtocol.ClaimState;
import org.borageproxy.wire.proto.ControlProtocol.CompleteClaim;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.Done;
import org.borageproxy.wire.proto.ControlProtocol.EndClaim;
import org.borageproxy.wire.proto.ControlProtocol.Fenced;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/**
 * The claims of requests that must run at most once. A claim is granted again only after its holder released it. Claims
 * are kept so long that a request with a creation time is too old before its claim expires. Guarded by the lock of
 * {@link ControlState}.
 */
final class ClaimTable {

    /** The age up to which a request may be claimed, in milliseconds. */
    static final long REQUEST_AGE_MILLIS = 24L * 60 * 60 * 1000;

    /** The time that a claim is kept after the last attempt to claim, in milliseconds. */
    static final long RETENTION_MILLIS = REQUEST_AGE_MILLIS + 60L * 60 * 1000;

    /** The time that a claim of a request without a creation time is kept, in milliseconds. */
    static final long UNDATED_RETENTION_MILLIS = 7L * 24 * 60 * 60 * 1000;

    /** The largest size of an answer that is kept, in bytes. */
    static final int GREATEST_ANSWER_BYTES = 256 * 1024;

    /** The largest size of all answers that are kept, in bytes. */
    static final long GREATEST_TOTAL_BYTES = 32L * 1024 * 1024;

    /** The claims by key. */
    private final Map<ClaimKey, ClaimState> claims = new HashMap<>();

    /** The claims that hold an answer, the oldest first. */
    private final LinkedHashMap<ClaimKey, Integer> answers = new LinkedHashMap<>();

    /** When claims may expire, the earliest first. */
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();

    /** The size of all answers in bytes. */
    private long answerBytes;

    /** The fencing number of the claim granted last. */
    private long lastEpoch;

    /**
     * Claims a request.
     *
     * @param claim the claim
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the reply
     */
    Reply claim(Claim claim, long stateMillis) {
        ClaimKey key = new ClaimKey(claim.getWorkspace(), claim.getIdempotencyKey());
        ClaimState earlier = claims.get(key);
        if (earlier != null && !earlier.getDigest().equals(claim.getDigest())) {
            return reply(ClaimReply.newBuilder().setDecision(ClaimReply.Decision.CONFLICT));
        }
        if (earlier != null && earlier.getPhase() != ClaimState.Phase.RELEASED) {
            return reply(decide(earlier, stateMillis));
        }
        if (isOutOfAge(claim.getCreatedAtMillis(), stateMillis)) {
            return reply(ClaimReply.newBuilder().setDecision(ClaimReply.Decision.TOO_OLD));
        }
        return grant(key, claim, stateMillis);
    }

    /**
     * Records the answer of a claimed request.
     *
     * @param end the claim and the answer
     * @return the reply
     */
    Reply complete(CompleteClaim end) {
        ClaimKey key = new ClaimKey(end.getWorkspace(), end.getIdempotencyKey());
        ClaimState state = claims.get(key);
        if (state == null || state.getEpoch() != end.getEpoch()) {
            return fenced(state);
        }
        if (state.getPhase() == ClaimState.Phase.RELEASED) {
            return fenced(state);
        }
        if (state.getPhase() != ClaimState.Phase.ANSWERED) {
            if (end.getAnswer().getBody().size() > GREATEST_ANSWER_BYTES) {
                claims.put(key, with(state, ClaimState.Phase.MAY_HAVE_RUN));
            } else {
                keepAnswer(key, state, end.getAnswer());
            }
        }
        return done();
    }

    /**
     * Ends a claim without an answer.
     *
     * @param end the claim
     * @param phase the phase to end in
     * @return the reply
     */
    Reply end(EndClaim end, ClaimState.Phase phase) {
        ClaimKey key = new ClaimKey(end.getWorkspace(), end.getIdempotencyKey());
        ClaimState state = claims.get(key);
        if (state == null || state.getEpoch() != end.getEpoch()) {
            return fenced(state);
        }
        if (state.getPhase() == ClaimState.Phase.CLAIMED) {
            claims.put(key, with(state, phase));
            return done();
        }
        return state.getPhase() == phase ? done() : fenced(state);
    }

    /**
     * Removes the claims that have expired.
     *
     * @param stateMillis the state's time in milliseconds since 1970
     */
    void expire(long stateMillis) {
        while (!expiries.isEmpty() && expiries.peek().atMillis() <= stateMillis) {
            Expiry expiry = expiries.poll();
            ClaimState state = claims.get(expiry.key());
            if (state != null && state.getExpiresAtMillis() <= stateMillis) {
                claims.remove(expiry.key());
                Integer bytes = answers.remove(expiry.key());
                answerBytes -= bytes == null ? 0 : bytes;
            }
        }
    }

    /**
     * Adds the table to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setLastClaimEpoch(lastEpoch);
        claims.forEach((key, state) -> {
            if (!answers.containsKey(key)) {
                snapshot.addClaims(state);
            }
        });
        answers.keySet().forEach(key -> snapshot.addClaims(claims.get(key)));
    }

    /**
     * Replaces the table by that of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        claims.clear();
        answers.clear();
        expiries.clear();
        answerBytes = 0;
        lastEpoch = snapshot.getLastClaimEpoch();
        for (ClaimState state : snapshot.getClaimsList()) {
            ClaimKey key = new ClaimKey(state.getWorkspace(), state.getIdempotencyKey());
            claims.put(key, state);
            expiries.add(new Expiry(state.getExpiresAtMillis(), key));
            if (state.getPhase() == ClaimState.Phase.ANSWERED) {
                int bytes = state.getAnswer().getBody().size();
                answers.put(key, bytes);
                answerBytes += bytes;
            }
        }
    }

    /**
     * Decides on a request that was claimed before.
     *
     * @param state the claim
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the decision
     */
    private static ClaimReply.Builder decide(ClaimState state, long stateMillis) {
        if (state.getPhase() == ClaimState.Phase.ANSWERED) {
            return ClaimReply.newBuilder()
                    .setDecision(ClaimReply.Decision.ANSWERED)
                    .setAnswer(state.getAnswer());
        }
        boolean isHeld = state.getPhase() == ClaimState.Phase.CLAIMED && stateMillis < state.getHeldUntilMillis();
        return ClaimReply.newBuilder()
                .setDecision(isHeld ? ClaimReply.Decision.IN_PROGRESS : ClaimReply.Decision.MAY_HAVE_RUN);
    }

    /**
     * Grants a claim.
     *
     * @param key the claim's key
     * @param claim the claim
     * @param stateMillis the state's time in milliseconds since 1970
     * @return the reply
     */
    private Reply grant(ClaimKey key, Claim claim, long stateMillis) {
        lastEpoch++;
        boolean isDated = claim.getCreatedAtMillis() > 0;
        long expiresAt = stateMillis + (isDated ? RETENTION_MILLIS : UNDATED_RETENTION_MILLIS);
        ClaimState earlier = claims.get(key);
        if (earlier != null) {
            expiresAt = Math.max(expiresAt, earlier.getExpiresAtMillis());
        }
        claims.put(
                key,
                ClaimState.newBuilder()
                        .setWorkspace(key.workspace())
                        .setIdempotencyKey(key.idempotencyKey())
                        .setDigest(claim.getDigest())
                        .setHolder(claim.getHolder())
                        .setEpoch(lastEpoch)
                        .setPhase(ClaimState.Phase.CLAIMED)
                        .setHeldUntilMillis(stateMillis + claim.getHoldMillis())
                        .setExpiresAtMillis(expiresAt)
                        .build());
        expiries.add(new Expiry(expiresAt, key));
        return reply(
                ClaimReply.newBuilder().setDecision(ClaimReply.Decision.GRANTED).setEpoch(lastEpoch));
    }

    /**
     * Keeps an answer, and drops the oldest ones if they take too much memory; their requests may have run.
     *
     * @param key the claim's key
     * @param state the claim
     * @param answer the answer
     */
    private void keepAnswer(ClaimKey key, ClaimState state, Answer answer) {
        claims.put(
                key,
                with(state, ClaimState.Phase.ANSWERED).toBuilder()
                        .setAnswer(answer)
                        .build());
        answers.put(key, answer.getBody().size());
        answerBytes += answer.getBody().size();
        while (answerBytes > GREATEST_TOTAL_BYTES) {
            Map.Entry<ClaimKey, Integer> oldest = answers.entrySet().iterator().next();
            answers.remove(oldest.getKey());
            answerBytes -= oldest.getValue();
            claims.put(oldest.getKey(), with(claims.get(oldest.getKey()), ClaimState.Phase.MAY_HAVE_RUN));
        }
    }

    /**
     * Tells whether a request is too old, or dated so far ahead that its claim would expire before it is too old.
     *
     * @param createdAtMillis when the caller created the request, or zero if not stated
     * @param stateMillis the state's time in milliseconds since 1970
     * @return {@code true} if the request must not run
     */
    private static boolean isOutOfAge(long createdAtMillis, long stateMillis) {
        if (createdAtMillis <= 0) {
            return false;
        }
        long ageMillis = stateMillis - createdAtMillis;
        return ageMillis > REQUEST_AGE_MILLIS || -ageMillis > RETENTION_MILLIS - REQUEST_AGE_MILLIS;
    }

    /**
     * Returns a claim in another phase, without an answer.
     *
     * @param state the claim
     * @param phase the phase
     * @return the claim in the phase
     */
    private static ClaimState with(ClaimState state, ClaimState.Phase phase) {
        return state.toBuilder().setPhase(phase).clearAnswer().build();
    }

    /**
     * Wraps a decision into a reply.
     *
     * @param decision the decision
     * @return the reply
     */
    private static Reply reply(ClaimReply.Builder decision) {
        return Reply.newBuilder().setClaim(decision).build();
    }

    /**
     * Returns the reply to a command that took effect.
     *
     * @return the reply
     */
    private static Reply done() {
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /**
     * Returns the reply to a holder that lost its claim.
     *
     * @param state the claim, or {@code null} if there is none
     * @return the reply
     */
    private static Reply fenced(ClaimState state) {
        long epoch = state == null ? 0 : state.getEpoch();
        return Reply.newBuilder()
                .setFenced(Fenced.newBuilder().setCurrentEpoch(epoch))
                .build();
    }

    /**
     * When a claim may expire.
     *
     * @param atMillis the time in milliseconds since 1970
     * @param key the claim's key
     */
    private record Expiry(long atMillis, ClaimKey key) implements Comparable<Expiry> {

        @Override
        public int compareTo(Expiry other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
