package org.borageproxy.quota;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.wire.proto.QuotaProtocol;

/** Encodes and decodes the messages about credit. Stateless and thread safe. */
final class QuotaCodec {

    /** Not instantiated. */
    private QuotaCodec() {}

    /** A message that a VM may send to the owner of a shard. */
    sealed interface Message {

        /**
         * A request for credit.
         *
         * @param request the request
         */
        record CreditMessage(CreditRequest request) implements Message {}

        /**
         * A notice of a predecessor.
         *
         * @param handOver the notice
         */
        record HandOverMessage(HandOver handOver) implements Message {}
    }

    /**
     * Encodes a request.
     *
     * @param request the request
     * @return its bytes
     */
    static ByteString encode(CreditRequest request) {
        List<QuotaProtocol.GiveBack> giveBacks = request.refunds().stream()
                .map(giveBack -> QuotaProtocol.GiveBack.newBuilder()
                        .setSinceOwnerNanos(giveBack.sinceOwnerNanos())
                        .setTokens(giveBack.tokens())
                        .build())
                .toList();
        QuotaProtocol.CreditRequest encoded = QuotaProtocol.CreditRequest.newBuilder()
                .setShard(request.shard())
                .setEpoch(request.epoch())
                .setSession(request.session())
                .setSequence(request.sequence())
                .setWorkspace(request.workspace())
                .setAccepted(request.accepted())
                .setSpent(request.spent())
                .setReturned(request.returned())
                .setNeeded(request.needed())
                .setWaiting(request.waiting())
                .setPrefetch(request.prefetch())
                .addAllGiveBacks(giveBacks)
                .build();
        return QuotaProtocol.Message.newBuilder().setRequest(encoded).build().toByteString();
    }

    /**
     * Encodes a notice to the successor.
     *
     * @param handOver the notice
     * @return its bytes
     */
    static ByteString encode(HandOver handOver) {
        List<QuotaProtocol.Level> levels = handOver.levels().entrySet().stream()
                .map(level -> QuotaProtocol.Level.newBuilder()
                        .setWorkspace(level.getKey())
                        .setTokens(level.getValue())
                        .build())
                .toList();
        QuotaProtocol.HandOver encoded = QuotaProtocol.HandOver.newBuilder()
                .setShard(handOver.shard())
                .setEpoch(handOver.epoch())
                .addAllLevels(levels)
                .build();
        return QuotaProtocol.Message.newBuilder().setHandOver(encoded).build().toByteString();
    }

    /**
     * Decodes a message.
     *
     * @param body its bytes
     * @return the message
     * @throws InvalidProtocolBufferException if the bytes are none
     */
    static Message decode(ByteString body) throws InvalidProtocolBufferException {
        QuotaProtocol.Message message = QuotaProtocol.Message.parseFrom(body);
        if (message.hasHandOver()) {
            return new Message.HandOverMessage(decode(message.getHandOver()));
        }
        return new Message.CreditMessage(decode(message.getRequest()));
    }

    /**
     * Decodes a notice.
     *
     * @param encoded the encoded notice
     * @return the notice
     */
    private static HandOver decode(QuotaProtocol.HandOver encoded) {
        Map<String, Long> levels = encoded.getLevelsList().stream()
                .collect(
                        Collectors.toMap(QuotaProtocol.Level::getWorkspace, QuotaProtocol.Level::getTokens, Math::min));
        return new HandOver(encoded.getShard(), encoded.getEpoch(), levels);
    }

    /**
     * Decodes a request.
     *
     * @param encoded the encoded request
     * @return the request
     */
    private static CreditRequest decode(QuotaProtocol.CreditRequest encoded) {
        List<TokenRefund> giveBacks = encoded.getGiveBacksList().stream()
                .map(giveBack -> new TokenRefund(giveBack.getSinceOwnerNanos(), giveBack.getTokens()))
                .toList();
        return new CreditRequest(
                encoded.getShard(),
                encoded.getEpoch(),
                encoded.getSession(),
                encoded.getSequence(),
                encoded.getWorkspace(),
                encoded.getAccepted(),
                encoded.getSpent(),
                encoded.getReturned(),
                encoded.getNeeded(),
                encoded.getWaiting(),
                encoded.getPrefetch(),
                giveBacks);
    }

    /**
     * Encodes a reply.
     *
     * @param reply the reply
     * @return its bytes
     */
    static ByteString encode(CreditReply reply) {
        return QuotaProtocol.CreditReply.newBuilder()
                .setStatusValue(reply.status().ordinal())
                .setEpoch(reply.epoch())
                .setSequence(reply.sequence())
                .setOwnerNanos(reply.ownerNanos())
                .setGranted(reply.granted())
                .setLifetimeNanos(reply.lifetimeNanos())
                .setWaitNanos(reply.waitNanos())
                .setReturnIdle(reply.returnIdle())
                .build()
                .toByteString();
    }

    /**
     * Decodes a reply.
     *
     * @param body its bytes
     * @return the reply
     * @throws InvalidProtocolBufferException if the bytes are none
     */
    static CreditReply decodeReply(ByteString body) throws InvalidProtocolBufferException {
        QuotaProtocol.CreditReply encoded = QuotaProtocol.CreditReply.parseFrom(body);
        CreditReply.Status[] statuses = CreditReply.Status.values();
        int status = encoded.getStatusValue();
        if (status < 0 || status >= statuses.length) {
            throw new InvalidProtocolBufferException("Unknown status: " + status);
        }
        return new CreditReply(
                statuses[status],
                encoded.getEpoch(),
                encoded.getSequence(),
                encoded.getOwnerNanos(),
                encoded.getGranted(),
                encoded.getLifetimeNanos(),
                encoded.getWaitNanos(),
                encoded.getReturnIdle());
    }
}
