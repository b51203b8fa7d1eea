package org.borageproxy.wire;

import com.google.protobuf.ByteString;
import org.borageproxy.event.HybridClock;
import org.borageproxy.event.HybridTimestamp;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * Creates the frames that this VM sends, with a timestamp of its hybrid clock, and verifies the proofs of its peers.
 * Thread safe.
 *
 * @param self the name of this VM
 * @param clock this VM's hybrid logical clock
 * @param credential the shared secret of the fleet
 */
record Frames(VmName self, HybridClock clock, PeerCredential credential) {

    /**
     * Part of the proof of the dialing end. The sides have different names, so that a proof cannot be reflected to its
     * sender.
     */
    static final String DIALING_SIDE = "dialing";
    /** Part of the proof of the accepting end. */
    static final String ACCEPTING_SIDE = "accepting";

    /**
     * Returns the first frame of a handshake.
     *
     * @param challenge the nonce that the peer has to sign
     * @return the frame
     */
    Frame hello(byte[] challenge) {
        return timestamped(Frame.Form.HELLO)
                .setSender(self.value())
                .setNonce(ByteString.copyFrom(challenge))
                .build();
    }

    /**
     * Returns a handshake frame with the proof that answers the peer's challenge.
     *
     * @param side the side of this VM, {@link #DIALING_SIDE} or {@link #ACCEPTING_SIDE}
     * @param answered the nonce received from the peer
     * @param challenge the nonce that the peer has to sign, empty for none
     * @return the frame
     */
    Frame proof(String side, ByteString answered, byte[] challenge) {
        byte[] proof = credential.computeProof(side, self.value(), answered.toByteArray());
        return hello(challenge).toBuilder().setProof(ByteString.copyFrom(proof)).build();
    }

    /**
     * Returns whether a handshake frame proves that its sender has the shared secret.
     *
     * @param side the side of the sender, {@link #DIALING_SIDE} or {@link #ACCEPTING_SIDE}
     * @param challenge the nonce that was sent to the peer
     * @param frame the peer's frame
     * @return {@code true} if the proof is valid for the sender's name, its side and the nonce
     */
    boolean hasValidProof(String side, byte[] challenge, Frame frame) {
        return credential.isValidProof(
                side, frame.getSender(), challenge, frame.getProof().toByteArray());
    }

    /**
     * Returns a frame that carries a message.
     *
     * @param form the form of the frame
     * @param kind the number of the message kind
     * @param correlation associates an answer with its request; zero for one-way messages
     * @param body the encoded message
     * @return the frame
     */
    Frame message(Frame.Form form, int kind, long correlation, ByteString body) {
        return timestamped(form)
                .setKind(kind)
                .setCorrelation(correlation)
                .setBody(body)
                .build();
    }

    /**
     * Returns a frame without body or timestamp, for pings and their answers.
     *
     * @param form the form of the frame
     * @return the frame
     */
    Frame empty(Frame.Form form) {
        return Frame.newBuilder().setForm(form).build();
    }

    /**
     * Advances the hybrid clock past the timestamp of a received frame.
     *
     * @param frame the received frame
     */
    void observe(Frame frame) {
        clock.observe(new HybridTimestamp(frame.getClockMillis(), frame.getClockCounter()));
    }

    /**
     * Returns the builder of a frame with a new timestamp.
     *
     * @param form the form of the frame
     * @return the builder
     */
    private Frame.Builder timestamped(Frame.Form form) {
        HybridTimestamp timestamp = clock.tick();
        return Frame.newBuilder()
                .setForm(form)
                .setClockMillis(timestamp.millis())
                .setClockCounter(timestamp.counter());
    }
}
