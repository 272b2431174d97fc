package org.marjoramsail.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.SoftwareVersion;

class StreamOriginsTest {

  private static final StreamOrigin OLD = new StreamOrigin("lector", new SoftwareVersion("v1"));
  private static final StreamOrigin NEW = new StreamOrigin("lector", new SoftwareVersion("v2"));
  private static final StreamKey KEY = StreamKey.of("rosario", "attempt-1");
  private static final long LIFETIME_MILLIS = 1_000;

  private final StreamOrigins origins = new StreamOrigins(3);

  @Test
  void anOriginIsKnownUntilItsCallerCanNoLongerResumeTheStream() {
    origins.add(new StreamRecord(KEY, OLD, LIFETIME_MILLIS), 0);

    assertThat(origins.find(KEY, 999).origin()).contains(OLD);
    assertThat(origins.find(KEY, 1_000).isAny()).isFalse();
  }

  /** Guards against a stream that goes on at the version of another one with its identifier. */
  @Test
  void anIdentifierOfTwoStreamsHasNoOrigin() {
    origins.add(new StreamRecord(KEY, OLD, LIFETIME_MILLIS), 0);
    origins.add(new StreamRecord(KEY, NEW, LIFETIME_MILLIS), 10);
    origins.add(new StreamRecord(KEY, NEW, LIFETIME_MILLIS), 20);

    assertThat(origins.find(KEY, 30).origin()).isEmpty();
    assertThat(origins.find(KEY, 30).ambiguous()).isTrue();
  }

  @Test
  void aStreamThatIsResumedStaysKnownForAnotherLifetime() {
    origins.add(new StreamRecord(KEY, OLD, LIFETIME_MILLIS), 0);
    origins.add(new StreamRecord(KEY, OLD, LIFETIME_MILLIS), 900);

    assertThat(origins.find(KEY, 1_800).origin()).contains(OLD);
    assertThat(origins.all(1_800)).containsExactly(new StreamRecord(KEY, OLD, 100));
  }

  /** Guards against memory that grows with the identifiers of callers. */
  @Test
  void theOldestStreamIsDroppedAndCountedWhenThereAreTooMany() {
    for (int number = 1; number <= 4; number++) {
      StreamKey key = StreamKey.of("rosario", "attempt-" + number);
      origins.add(new StreamRecord(key, OLD, LIFETIME_MILLIS), number);
    }

    assertThat(origins.find(KEY, 5).isAny()).isFalse();
    assertThat(origins.size()).isEqualTo(3);
    assertThat(origins.dropped()).isEqualTo(1);
  }

  /** Guards against a caller that names the stream of another organisation. */
  @Test
  void keysOfDifferentOrganisationsDiffer() {
    assertThat(StreamKey.of("rosario", "attempt-1"))
        .isNotEqualTo(StreamKey.of("lima", "attempt-1"));
    assertThat(StreamKey.of("rosario", "a")).isNotEqualTo(StreamKey.of("rosarioa", ""));
  }
}
