package org.marjoramsail.core.outcome;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/** Computes the fingerprint of a request, by which equal contents are recognised. */
public final class Fingerprint {

  private Fingerprint() {}

  /** Returns the XXH3 hash of the service and the content. */
  public static long of(String service, byte[] content) {
    return Hashing.xxh3_64().hashStream().putString(service).putBytes(content).getAsLong();
  }

  /** Returns the XXH3 hash of the service and the UTF-8 bytes of the content. */
  public static long of(String service, String content) {
    return of(service, content.getBytes(StandardCharsets.UTF_8));
  }
}
