package org.borageproxy.quota;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.borageproxy.wire.proto.QuotaProtocol;

/** Encodes and decodes the messages between entries and owners. Stateless and thread safe. */
final class QuotaCodec {

    private QuotaCodec() {}

    /** A message to the owner of a shard, or to a VM that may become its owner. */
    sealed interface Message {

        /**
         * A request for credit.
         *
         * @param request the request
         */
        record CreditMessage(CreditRequest request) implements Message {}

        /**
         * A hand-over from the previous owner.
         *
         * @param handOver the hand-over
         */
        record HandOverMessage(HandOver handOver) implements Message {}
    }

    static ByteString encode(CreditRequest request) {
        List<QuotaProtocol.GiveBack> refunds = request.refunds().stream()
                .map(refund -> QuotaProtocol.GiveBack.newBuilder()
                        .setSinceOwnerNanos(refund.sinceOwnerNanos())
                        .setTokens(refund.tokens())
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
                .addAllGiveBacks(refunds)
                .build();
        return QuotaProtocol.Message.newBuilder().setRequest(encoded).build().toByteString();
    }

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
     * Decodes a message to an owner.
     *
     * @param body the encoded message
     * @return the message
     * @throws InvalidProtocolBufferException if the bytes are not a valid message
     */
    static Message decode(ByteString body) throws InvalidProtocolBufferException {
        QuotaProtocol.Message message = QuotaProtocol.Message.parseFrom(body);
        if (message.hasHandOver()) {
            return new Message.HandOverMessage(decode(message.getHandOver()));
        }
        return new Message.CreditMessage(decode(message.getRequest()));
    }

    /** Decodes a hand-over. If a workspace is listed twice, the lower level is used. */
    private static HandOver decode(QuotaProtocol.HandOver encoded) {
        Map<String, Long> levels = encoded.getLevelsList().stream()
                .collect(
                        Collectors.toMap(QuotaProtocol.Level::getWorkspace, QuotaProtocol.Level::getTokens, Math::min));
        return new HandOver(encoded.getShard(), encoded.getEpoch(), levels);
    }

    private static CreditRequest decode(QuotaProtocol.CreditRequest encoded) {
        List<TokenRefund> refunds = encoded.getGiveBacksList().stream()
                .map(refund -> new TokenRefund(refund.getSinceOwnerNanos(), refund.getTokens()))
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
                refunds);
    }

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
     * @param body the encoded reply
     * @return the reply
     * @throws InvalidProtocolBufferException if the bytes are not a valid reply or the status is unknown
     */
    static CreditReply decodeReply(ByteString body) throws InvalidProtocolBufferException {
        QuotaProtocol.CreditReply encoded = QuotaProtocol.CreditReply.parseFrom(body);
        CreditReply.Status[] statuses = CreditReply.Status.values();
        int status = encoded.getStatusValue();
        if (status < 0 || status >= statuses.length) {
            throw new InvalidProtocolBufferException("Unknown status of a credit reply: " + status);
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
