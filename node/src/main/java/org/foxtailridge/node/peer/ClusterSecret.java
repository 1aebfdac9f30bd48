package org.foxtailridge.node.peer;

import com.google.protobuf.ByteString;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.foxtailridge.protocol.envelope.Hello;

/** Signs and verifies the proofs that nodes exchange; the secret itself is never sent. */
final class ClusterSecret {
    private static final String ALGORITHM = "HmacSHA256";
    private static final int CHALLENGE_BYTES = 32;
    private static final int MINIMUM_CHARACTERS = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final SecretKeySpec mKey;

    private ClusterSecret(SecretKeySpec key) {
        mKey = key;
    }

    /** Returns the secret; refuses one shorter than 16 characters. */
    static ClusterSecret of(String secret) {
        if (secret.length() < MINIMUM_CHARACTERS) {
            throw new IllegalArgumentException(
                    "expected a cluster secret of at least "
                            + MINIMUM_CHARACTERS
                            + " characters but was "
                            + secret.length());
        }
        return new ClusterSecret(
                new SecretKeySpec(secret.getBytes(StandardCharsets.UTF_8), ALGORITHM));
    }

    static ByteString newChallenge() {
        byte[] challenge = new byte[CHALLENGE_BYTES];
        RANDOM.nextBytes(challenge);
        return ByteString.copyFrom(challenge);
    }

    /** Signs the verifier's challenge together with the signer's own hello. */
    ByteString sign(Hello signer, Hello verifier) {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(mKey);
            mac.update(verifier.getChallenge().toByteArray());
            mac.update(signer.toByteArray());
            return ByteString.copyFrom(mac.doFinal());
        } catch (GeneralSecurityException missing) {
            throw new IllegalStateException("the runtime lacks " + ALGORITHM, missing);
        }
    }

    boolean verifies(ByteString signature, Hello signer, Hello verifier) {
        return MessageDigest.isEqual(signature.toByteArray(), sign(signer, verifier).toByteArray());
    }
}
