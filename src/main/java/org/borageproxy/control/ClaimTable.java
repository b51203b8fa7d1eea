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
 * Claims of requests that must run at most once. A claim is granted again only after its holder has released it. The
 * claim of a request with a creation time outlives the maximum request age, so a repetition after the claim has expired
 * is refused as too old. Guarded by the lock of {@link ControlState}.
 */
final class ClaimTable {

    /** Maximum age of a request that may be claimed, in milliseconds. */
    static final long MAX_REQUEST_AGE_MILLIS = 24L * 60 * 60 * 1000;

    /**
     * Retention of a claim after it was granted last, in milliseconds. The margin over the maximum request age covers
     * creation times in the future.
     */
    static final long RETENTION_MILLIS = MAX_REQUEST_AGE_MILLIS + 60L * 60 * 1000;

    /** Retention of a claim of a request without a creation time, in milliseconds. */
    static final long UNDATED_RETENTION_MILLIS = 7L * 24 * 60 * 60 * 1000;

    /** Maximum size of the body of a stored response, in bytes. */
    static final int MAX_RESPONSE_BYTES = 256 * 1024;

    /** Maximum total size of the bodies of all stored responses, in bytes. */
    static final long MAX_TOTAL_RESPONSE_BYTES = 32L * 1024 * 1024;

    private final Map<ClaimKey, ClaimState> claims = new HashMap<>();

    /** Body sizes of the stored responses, oldest response first. */
    private final LinkedHashMap<ClaimKey, Integer> responseSizes = new LinkedHashMap<>();

    /** Expiry times, earliest first. A claim that was granted again has several entries. */
    private final PriorityQueue<Expiry> expiries = new PriorityQueue<>();

    /** Total size of the bodies of all stored responses, in bytes. */
    private long totalResponseBytes;

    /** Epoch of the claim granted last. Each grant has a higher one, which is its fencing token. */
    private long lastEpoch;

    /**
     * Claims a request. Grants the claim if the key is new or its claim was released; otherwise the reply describes the
     * earlier claim.
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
        if (isOutsideAgeLimits(claim.getCreatedAtMillis(), stateMillis)) {
            return reply(ClaimReply.newBuilder().setDecision(ClaimReply.Decision.TOO_OLD));
        }
        return grant(key, claim, stateMillis);
    }

    /**
     * Stores the response of a claimed request. A response that is too large is not stored, and the request counts as
     * one that may have run. Replies that the caller is fenced if it does not hold the claim.
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
            if (end.getAnswer().getBody().size() > MAX_RESPONSE_BYTES) {
                claims.put(key, withPhase(state, ClaimState.Phase.MAY_HAVE_RUN));
            } else {
                storeResponse(key, state, end.getAnswer());
            }
        }
        return done();
    }

    /**
     * Ends a claim without a response. Idempotent; replies that the caller is fenced if it does not hold the claim or
     * the claim ended in another phase.
     */
    Reply end(EndClaim end, ClaimState.Phase phase) {
        ClaimKey key = new ClaimKey(end.getWorkspace(), end.getIdempotencyKey());
        ClaimState state = claims.get(key);
        if (state == null || state.getEpoch() != end.getEpoch()) {
            return fenced(state);
        }
        if (state.getPhase() == ClaimState.Phase.CLAIMED) {
            claims.put(key, withPhase(state, phase));
            return done();
        }
        return state.getPhase() == phase ? done() : fenced(state);
    }

    /** Removes expired claims. */
    void expire(long stateMillis) {
        while (!expiries.isEmpty() && expiries.peek().atMillis() <= stateMillis) {
            Expiry expiry = expiries.poll();
            ClaimState state = claims.get(expiry.key());
            if (state != null && state.getExpiresAtMillis() <= stateMillis) {
                claims.remove(expiry.key());
                Integer bytes = responseSizes.remove(expiry.key());
                totalResponseBytes -= bytes == null ? 0 : bytes;
            }
        }
    }

    /**
     * Adds the table to a snapshot. Claims with stored responses come last and oldest first, which preserves the order
     * of eviction.
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.setLastClaimEpoch(lastEpoch);
        claims.forEach((key, state) -> {
            if (!responseSizes.containsKey(key)) {
                snapshot.addClaims(state);
            }
        });
        responseSizes.keySet().forEach(key -> snapshot.addClaims(claims.get(key)));
    }

    /** Replaces the table with the content of a snapshot. */
    void load(ControlSnapshot snapshot) {
        claims.clear();
        responseSizes.clear();
        expiries.clear();
        totalResponseBytes = 0;
        lastEpoch = snapshot.getLastClaimEpoch();
        for (ClaimState state : snapshot.getClaimsList()) {
            ClaimKey key = new ClaimKey(state.getWorkspace(), state.getIdempotencyKey());
            claims.put(key, state);
            expiries.add(new Expiry(state.getExpiresAtMillis(), key));
            if (state.getPhase() == ClaimState.Phase.ANSWERED) {
                int bytes = state.getAnswer().getBody().size();
                responseSizes.put(key, bytes);
                totalResponseBytes += bytes;
            }
        }
    }

    /**
     * Decides on a request with an unreleased claim. Once the hold time has passed without an end, the request may have
     * run.
     */
    private static ClaimReply.Builder decide(ClaimState state, long stateMillis) {
        if (state.getPhase() == ClaimState.Phase.ANSWERED) {
            return ClaimReply.newBuilder()
                    .setDecision(ClaimReply.Decision.ANSWERED)
                    .setAnswer(state.getAnswer());
        }
        boolean isInProgress = state.getPhase() == ClaimState.Phase.CLAIMED && stateMillis < state.getHeldUntilMillis();
        return ClaimReply.newBuilder()
                .setDecision(isInProgress ? ClaimReply.Decision.IN_PROGRESS : ClaimReply.Decision.MAY_HAVE_RUN);
    }

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
     * Stores a response and evicts the oldest ones above the total size. Requests whose responses are evicted count as
     * ones that may have run.
     */
    private void storeResponse(ClaimKey key, ClaimState state, Answer response) {
        claims.put(
                key,
                withPhase(state, ClaimState.Phase.ANSWERED).toBuilder()
                        .setAnswer(response)
                        .build());
        responseSizes.put(key, response.getBody().size());
        totalResponseBytes += response.getBody().size();
        while (totalResponseBytes > MAX_TOTAL_RESPONSE_BYTES) {
            Map.Entry<ClaimKey, Integer> oldest =
                    responseSizes.entrySet().iterator().next();
            responseSizes.remove(oldest.getKey());
            totalResponseBytes -= oldest.getValue();
            claims.put(oldest.getKey(), withPhase(claims.get(oldest.getKey()), ClaimState.Phase.MAY_HAVE_RUN));
        }
    }

    /**
     * Whether a request is too old, or dated so far in the future that its claim would expire before the request
     * becomes too old. Requests without a creation time have no age limit.
     */
    private static boolean isOutsideAgeLimits(long createdAtMillis, long stateMillis) {
        if (createdAtMillis <= 0) {
            return false;
        }
        long ageMillis = stateMillis - createdAtMillis;
        return ageMillis > MAX_REQUEST_AGE_MILLIS || -ageMillis > RETENTION_MILLIS - MAX_REQUEST_AGE_MILLIS;
    }

    /** Returns a claim in another phase, without a response. */
    private static ClaimState withPhase(ClaimState state, ClaimState.Phase phase) {
        return state.toBuilder().setPhase(phase).clearAnswer().build();
    }

    private static Reply reply(ClaimReply.Builder decision) {
        return Reply.newBuilder().setClaim(decision).build();
    }

    private static Reply done() {
        return Reply.newBuilder().setDone(Done.getDefaultInstance()).build();
    }

    /** Replies to a caller that does not hold the claim; {@code state} is {@code null} if there is no claim. */
    private static Reply fenced(ClaimState state) {
        long epoch = state == null ? 0 : state.getEpoch();
        return Reply.newBuilder()
                .setFenced(Fenced.newBuilder().setCurrentEpoch(epoch))
                .build();
    }

    private record Expiry(long atMillis, ClaimKey key) implements Comparable<Expiry> {

        @Override
        public int compareTo(Expiry other) {
            return Long.compare(atMillis, other.atMillis);
        }
    }
}
