package org.marjoramsail.core.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Arrays;
import java.util.Base64;

/**
 * Key under which a request runs at most once.
 *
 * @param organisation the organisation that sends the request
 * @param service the requested service
 * @param idempotencyKey the idempotency key that the caller chose
 */
public record ClaimKey(String organisation, String service, String idempotencyKey) {

  private static final int HASH_BYTES = 16;

  /**
   * Returns a collision-resistant hash, since callers choose their keys and one caller must not be
   * able to block the keys of another.
   *
   * @return 22 characters of base64url
   */
  public String hash() {
    return hash(
        organisation.getBytes(StandardCharsets.UTF_8),
        service.getBytes(StandardCharsets.UTF_8),
        idempotencyKey.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns the fingerprint of a request body; equal bodies have equal fingerprints. */
  public static String bodyHash(byte[] body) {
    return hash(body);
  }

  private static String hash(byte[]... parts) {
    MessageDigest digest = sha256();
    for (byte[] part : parts) {
      digest.update(ByteBuffer.allocate(Integer.BYTES).putInt(0, part.length));
      digest.update(part);
    }
    byte[] truncated = Arrays.copyOf(digest.digest(), HASH_BYTES);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(truncated);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException impossible) {
      throw new IllegalStateException("Every Java platform has SHA-256.", impossible);
    }
  }
}
