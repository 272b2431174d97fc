package org.marjoramsail.core.outcome;

import com.dynatrace.hash4j.hashing.Hashing;
import java.nio.charset.StandardCharsets;

/** Names the content of a request, so that the same content sent again is known. */
public final class Fingerprint {

  private Fingerprint() {}

  /** XXH3 over the service and the content. */
  public static long of(String service, byte[] content) {
    return Hashing.xxh3_64().hashStream().putString(service).putBytes(content).getAsLong();
  }

  /** XXH3 over the service and the UTF-8 bytes of the content. */
  public static long of(String service, String content) {
    return of(service, content.getBytes(StandardCharsets.UTF_8));
  }
}
