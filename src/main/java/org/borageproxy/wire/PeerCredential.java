package org.borageproxy.wire;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;

/**
 * The secret that all VMs of a fleet share, by which both ends of a connection prove themselves without sending it.
 * Immutable and thread safe.
 */
public final class PeerCredential {

    /** The length of a challenge in bytes. */
    private static final int CHALLENGE_BYTES = 32;
    /** The algorithm of the proofs. */
    private static final String ALGORITHM = "HmacSHA256";
    /** The source of challenges. */
    private static final SecureRandom RANDOM = new SecureRandom();

    /** The shared secret. */
    private final byte[] secret;

    /**
     * Creates a credential.
     *
     * @param secret the shared secret
     */
    private PeerCredential(byte[] secret) {
        this.secret = secret;
    }

    /**
     * Returns the credential of a secret.
     *
     * @param secret the shared secret, not empty
     * @return the credential
     */
    public static PeerCredential of(String secret) {
        if (secret.isBlank()) {
            throw new IllegalArgumentException("The secret between VMs must not be empty");
        }
        return new PeerCredential(secret.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns a fresh challenge.
     *
     * @return random bytes
     */
    static byte[] challenge() {
        byte[] challenge = new byte[CHALLENGE_BYTES];
        RANDOM.nextBytes(challenge);
        return challenge;
    }

    /**
     * Proves knowledge of the secret.
     *
     * @param side which end proves itself
     * @param sender the name of the VM that proves itself
     * @param challenge the challenge of the other end
     * @return the proof
     */
    byte[] proof(String side, String sender, byte[] challenge) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(new SecretKeySpec(secret, ALGORITHM));
            mac.update((side + '\n' + sender + '\n').getBytes(StandardCharsets.UTF_8));
            return mac.doFinal(challenge);
        } catch (GeneralSecurityException exception) {
            throw new IllegalStateException("The platform lacks " + ALGORITHM, exception);
        }
    }

    /**
     * Checks a proof in constant time.
     *
     * @param side which end proves itself
     * @param sender the name of the VM that proves itself
     * @param challenge the challenge that was sent
     * @param proof the proof that came back
     * @return {@code true} if the proof is right
     */
    boolean accepts(String side, String sender, byte[] challenge, byte[] proof) {
        return MessageDigest.isEqual(proof(side, sender, challenge), proof);
    }
}
