package org.borageproxy.wire;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * The secret shared by all VMs of a fleet. Each end of a connection proves possession of it by signing a nonce of its
 * peer, so that the secret itself is never sent. Immutable and thread safe.
 */
public final class PeerCredential {

    private static final int CHALLENGE_BYTES = 32;
    private static final String ALGORITHM = "HmacSHA256";
    private static final SecureRandom RANDOM = new SecureRandom();

    private final byte[] secret;

    private PeerCredential(byte[] secret) {
        this.secret = secret;
    }

    /**
     * Creates a credential.
     *
     * @param secret the shared secret, not blank
     * @return the credential
     */
    public static PeerCredential of(String secret) {
        if (secret.isBlank()) {
            throw new IllegalArgumentException("The shared secret of the VMs must not be blank");
        }
        return new PeerCredential(secret.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a random nonce for one handshake.
     *
     * @return 32 random bytes
     */
    static byte[] newChallenge() {
        byte[] challenge = new byte[CHALLENGE_BYTES];
        RANDOM.nextBytes(challenge);
        return challenge;
    }

    /**
     * Signs a nonce together with the signer's side and name, so that the proof is valid for these only.
     *
     * @param side the side of the signer, {@link Frames#DIALING_SIDE} or {@link Frames#ACCEPTING_SIDE}
     * @param sender the name of the signing VM
     * @param challenge the nonce received from the peer
     * @return the message authentication code
     */
    byte[] computeProof(String side, String sender, byte[] challenge) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            mac.update((side + '\n' + sender + '\n').getBytes(StandardCharsets.UTF_8));
            return mac.doFinal(challenge);
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException("The Java runtime does not provide " + ALGORITHM, exception);
        }
    }

    /**
     * Verifies a proof in constant time, so that response times reveal nothing about the expected value.
     *
     * @param side the side of the peer
     * @param sender the name of the peer
     * @param challenge the nonce that was sent to the peer
     * @param proof the received proof
     * @return {@code true} if the proof is valid
     */
    boolean isValidProof(String side, String sender, byte[] challenge, byte[] proof) {
        return MessageDigest.isEqual(computeProof(side, sender, challenge), proof);
    }
}
