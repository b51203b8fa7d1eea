package org.borageproxy.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.wire.proto.ControlProtocol.ClaimReply;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.RememberedReply;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/**
 * Cached replies to recent commands, which deduplicate retries by the identity of the command. Replies to idempotent
 * commands are not cached. Guarded by the lock of {@link ControlState}.
 */
final class ReplyCache {

    /** Retention of a reply, in milliseconds. */
    static final long RETENTION_MILLIS = 10L * 60 * 1000;

    /** Maximum number of cached replies. */
    private static final int MAX_REPLIES = 50_000;

    /** Replies by identity, oldest first. */
    private final LinkedHashMap<String, RememberedReply> replies = new LinkedHashMap<>();

    /** Returns the cached reply to a command. */
    Optional<Reply> find(String identity) {
        return Optional.ofNullable(replies.get(identity)).map(RememberedReply::getReply);
    }

    /** Caches the reply of a command that is not idempotent: a granted claim, a granted lease or a recorded intent. */
    void store(String identity, Reply reply, long stateMillis) {
        boolean isGrantedClaim = reply.hasClaim() && reply.getClaim().getDecision() == ClaimReply.Decision.GRANTED;
        boolean isGrantedLease = reply.hasLease() && reply.getLease().getGranted();
        if (isGrantedClaim || isGrantedLease || reply.hasIntent()) {
            replies.put(
                    identity,
                    RememberedReply.newBuilder()
                            .setIdentity(identity)
                            .setAtMillis(stateMillis)
                            .setReply(reply)
                            .build());
        }
    }

    /** Evicts replies that exceed the retention or the maximum number, oldest first. */
    void expire(long stateMillis) {
        while (!replies.isEmpty()) {
            Map.Entry<String, RememberedReply> oldest =
                    replies.entrySet().iterator().next();
            boolean isOld = oldest.getValue().getAtMillis() + RETENTION_MILLIS <= stateMillis;
            if (!isOld && replies.size() <= MAX_REPLIES) {
                return;
            }
            replies.remove(oldest.getKey());
        }
    }

    /** Adds the replies to a snapshot. */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllReplies(replies.values());
    }

    /** Replaces the replies with those of a snapshot. */
    void load(ControlSnapshot snapshot) {
        replies.clear();
        snapshot.getRepliesList().forEach(reply -> replies.put(reply.getIdentity(), reply));
    }
}
