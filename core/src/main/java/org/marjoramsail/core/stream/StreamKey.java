package org.marjoramsail.core.stream;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;

/**
 * Identifies a stream among those of all callers: a hash of the organisation of its caller and of
 * the attempt that brought its first event.
 *
 * <p>Attempts are named by callers. The hash is cryptographic, so that no caller can name the
 * stream of another organisation.
 *
 * @param high the first half of the hash
 * @param low the second half of the hash
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record StreamKey(long high, long low) {

  private static final byte SEPARATOR = 0;

  /** Returns the key of the stream that an attempt of an organisation has begun. */
  public static StreamKey of(String organisation, String attempt) {
    MessageDigest digest = newDigest();
    digest.update(organisation.getBytes(StandardCharsets.UTF_8));
    digest.update(SEPARATOR);
    digest.update(attempt.getBytes(StandardCharsets.UTF_8));
    ByteBuffer hash = ByteBuffer.wrap(digest.digest());
    return new StreamKey(hash.getLong(), hash.getLong());
  }

  private static MessageDigest newDigest() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException missing) {
      throw new IllegalStateException("Each Java platform has SHA-256.", missing);
    }
  }
}
