package org.borageproxy.control;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.borageproxy.wire.proto.ControlProtocol.ClaimReply;
import org.borageproxy.wire.proto.ControlProtocol.ControlSnapshot;
import org.borageproxy.wire.proto.ControlProtocol.RememberedReply;
import org.borageproxy.wire.proto.ControlProtocol.Reply;

/**
 * The replies to recent commands that must not take effect twice, by the identity of the command. Commands that have
 * the same effect when repeated are not remembered. Guarded by the lock of {@link ControlState}.
 */
final class ReplyMemory {

    /** The time that a reply is remembered, in milliseconds. */
    static final long KEPT_MILLIS = 10L * 60 * 1000;

    /** The number of replies that are remembered. */
    private static final int KEPT_REPLIES = 50_000;

    /** The replies by identity, the oldest first. */
    private final LinkedHashMap<String, RememberedReply> replies = new LinkedHashMap<>();

    /**
     * Returns the reply to an earlier copy of a command.
     *
     * @param identity the command's identity
     * @return the reply
     */
    Optional<Reply> find(String identity) {
        return Optional.ofNullable(replies.get(identity)).map(RememberedReply::getReply);
    }

    /**
     * Remembers a reply if the command must not take effect twice.
     *
     * @param identity the command's identity
     * @param reply the reply
     * @param stateMillis the state's time in milliseconds since 1970
     */
    void remember(String identity, Reply reply, long stateMillis) {
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

    /**
     * Forgets old replies.
     *
     * @param stateMillis the state's time in milliseconds since 1970
     */
    void expire(long stateMillis) {
        while (!replies.isEmpty()) {
            Map.Entry<String, RememberedReply> oldest =
                    replies.entrySet().iterator().next();
            boolean isOld = oldest.getValue().getAtMillis() + KEPT_MILLIS <= stateMillis;
            if (!isOld && replies.size() <= KEPT_REPLIES) {
                return;
            }
            replies.remove(oldest.getKey());
        }
    }

    /**
     * Adds the replies to a snapshot.
     *
     * @param snapshot the snapshot
     */
    void save(ControlSnapshot.Builder snapshot) {
        snapshot.addAllReplies(replies.values());
    }

    /**
     * Replaces the replies by those of a snapshot.
     *
     * @param snapshot the snapshot
     */
    void load(ControlSnapshot snapshot) {
        replies.clear();
        snapshot.getRepliesList().forEach(reply -> replies.put(reply.getIdentity(), reply));
    }
}
