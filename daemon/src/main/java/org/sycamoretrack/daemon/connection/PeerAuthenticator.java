package org.sycamoretrack.daemon.connection;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Creates and verifies proofs that a node has the shared key, without sending the key.
 *
 * <p>A proof is an HMAC-SHA256 over the role of the prover, both nonces and the prover's identity.
 * The role prevents reflection of a proof, and the nonces prevent its replay. Without a key, proofs
 * are empty and every peer is accepted.
 */
final class PeerAuthenticator {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;
  private static final byte[] NO_PROOF = {};

  private final SecretKeySpec key;
  private final SecureRandom random = new SecureRandom();

  PeerAuthenticator(byte[] key) {
    this.key = key == null ? null : new SecretKeySpec(key, ALGORITHM);
  }

  /** The side of the connection that creates the proof. Its name is part of the proof. */
  enum Role {
    DIALLER,
    ACCEPTOR
  }

  byte[] newNonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  byte[] createProof(Role role, byte[] acceptorNonce, byte[] diallerNonce, PeerIdentity identity) {
    if (key == null) {
      return NO_PROOF;
    }
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      updateWithLength(mac, role.name().getBytes(StandardCharsets.UTF_8));
      updateWithLength(mac, acceptorNonce);
      updateWithLength(mac, diallerNonce);
      updateWithLength(mac, identity.toString().getBytes(StandardCharsets.UTF_8));
      return mac.doFinal();
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("the platform has no " + ALGORITHM, e);
    }
  }

  boolean verify(
      Role role, byte[] acceptorNonce, byte[] diallerNonce, PeerIdentity identity, byte[] proof) {
    byte[] expected = createProof(role, acceptorNonce, diallerNonce, identity);
    return key == null || MessageDigest.isEqual(expected, proof);
  }

  /** Adds a part with its length, so that the boundaries between parts are unambiguous. */
  private static void updateWithLength(Mac mac, byte[] part) {
    mac.update((byte) (part.length >>> 8));
    mac.update((byte) part.length);
    mac.update(part);
  }
}
