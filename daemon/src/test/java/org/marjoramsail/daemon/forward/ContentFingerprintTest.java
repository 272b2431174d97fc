package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Guards against a content that is refused to callers whose requests crash nothing. */
final class ContentFingerprintTest {

  @Test
  void requestsOfOneCallerWithOneContentHaveOneFingerprint() {
    assertThat(fingerprint("desk", "council", "/a", "body"))
        .isEqualTo(fingerprint("desk", "council", "/a", "body"));
  }

  @Test
  void requestsThatDifferInServiceCallerPathOrBodyHaveDifferentFingerprints() {
    Set<Long> all =
        Set.of(
            fingerprint("desk", "council", "/a", "body"),
            fingerprint("votes", "council", "/a", "body"),
            fingerprint("desk", "assembly", "/a", "body"),
            fingerprint("desk", "council", "/b", "body"),
            fingerprint("desk", "council", "/a", "other"));

    assertThat(all).hasSize(5);
  }

  private static long fingerprint(String service, String caller, String uri, String body) {
    CallerParameters parameters =
        new CallerParameters(
            "attempt-1",
            OptionalLong.empty(),
            0,
            0,
            OptionalInt.empty(),
            OptionalInt.empty(),
            Optional.empty(),
            List.of(),
            Optional.empty());
    ForwardedRequest request =
        new ForwardedRequest(
            HttpMethod.POST,
            uri,
            "desk.example",
            MultiMap.caseInsensitiveMultiMap(),
            Buffer.buffer(body),
            true,
            parameters,
            Optional.empty());
    return ForwardProfiles.fingerprint(service, caller, request);
  }
}
