package org.borageproxy.wire;

import com.google.protobuf.ByteString;
import org.borageproxy.event.HybridClock;
import org.borageproxy.event.HybridTimestamp;
import org.borageproxy.vm.VmName;
import org.borageproxy.wire.proto.FrameProtocol.Frame;

/**
 * Makes the frames of one VM and stamps them with its clock. Immutable and thread safe.
 *
 * @param self the name of this VM
 * @param clock this VM's hybrid logical clock
 * @param credential the secret that the VMs share
 */
record Frames(VmName self, HybridClock clock, PeerCredential credential) {

    /** The side name in the proofs of the end that dials. */
    static final String DIALING_SIDE = "dialing";
    /** The side name in the proofs of the end that accepts. */
    static final String ACCEPTING_SIDE = "accepting";

    /**
     * Returns a frame that opens a handshake.
     *
     * @param challenge the challenge to the other end
     * @return the frame
     */
    Frame hello(byte[] challenge) {
        return stamped(Frame.Form.HELLO)
                .setSender(self.value())
                .setNonce(ByteString.copyFrom(challenge))
                .build();
    }

    /**
     * Returns a frame that answers a challenge.
     *
     * @param side the side that proves itself
     * @param answered the challenge of the other end
     * @param challenge the challenge to the other end, empty for none
     * @return the frame
     */
    Frame proof(String side, ByteString answered, byte[] challenge) {
        byte[] proof = credential.proof(side, self.value(), answered.toByteArray());
        return hello(challenge).toBuilder().setProof(ByteString.copyFrom(proof)).build();
    }

    /**
     * Tells whether a handshake frame proves its sender.
     *
     * @param side the side that proves itself
     * @param challenge the challenge that was sent
     * @param frame the frame
     * @return {@code true} if the proof is right
     */
    boolean proves(String side, byte[] challenge, Frame frame) {
        return credential.accepts(
                side, frame.getSender(), challenge, frame.getProof().toByteArray());
    }

    /**
     * Returns a frame that carries a message.
     *
     * @param form the form
     * @param kind the number of the message's kind
     * @param correlation links an answer with its request; zero for none
     * @param body the encoded message
     * @return the frame
     */
    Frame message(Frame.Form form, int kind, long correlation, ByteString body) {
        return stamped(form)
                .setKind(kind)
                .setCorrelation(correlation)
                .setBody(body)
                .build();
    }

    /**
     * Returns a frame without content.
     *
     * @param form the form
     * @return the frame
     */
    Frame bare(Frame.Form form) {
        return Frame.newBuilder().setForm(form).build();
    }

    /**
     * Moves this VM's clock past a received frame.
     *
     * @param frame the frame
     */
    void observe(Frame frame) {
        clock.observe(new HybridTimestamp(frame.getClockMillis(), frame.getClockCounter()));
    }

    /**
     * Starts a frame with the clock's reading.
     *
     * @param form the form
     * @return the builder
     */
    private Frame.Builder stamped(Frame.Form form) {
        HybridTimestamp timestamp = clock.tick();
        return Frame.newBuilder()
                .setForm(form)
                .setClockMillis(timestamp.millis())
                .setClockCounter(timestamp.counter());
    }
}
