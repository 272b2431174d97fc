package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalLong;
import org.junit.jupiter.api.Test;

class ResponseDeadlineTest {

  private static final long RESPONSE_MILLIS = 700;
  private static final int MEGABYTE = 1_000_000;
  private static final int KILOBYTES_PER_SECOND = 100;
  private static final int CHUNK_BYTES = 10_000;

  private final ResponseDeadline deadline =
      new ResponseDeadline(0, RESPONSE_MILLIS, RESPONSE_MILLIS);

  /** Guards against a large configuration that is given up on each slow path, again and again. */
  @Test
  void aMegabyteThatArrivesSteadilyIsNotGivenUp() {
    long now = 0;
    for (int received = 0; received < MEGABYTE; received += CHUNK_BYTES) {
      now += CHUNK_BYTES / KILOBYTES_PER_SECOND;
      deadline.received(CHUNK_BYTES, now);
      assertThat(deadline.remainingMillis(now)).isPresent();
    }
  }

  /** Guards against an outage of the store that is noticed later than its timeout. */
  @Test
  void aResponseThatDoesNotBeginIsGivenUpAtTheTimeout() {
    assertThat(deadline.remainingMillis(RESPONSE_MILLIS - 1)).hasValue(1);
    assertThat(deadline.remainingMillis(RESPONSE_MILLIS)).isEmpty();
  }

  @Test
  void aResponseThatStopsIsGivenUpAfterThePause() {
    deadline.received(MEGABYTE, 100);

    assertThat(deadline.remainingMillis(100)).hasValue(RESPONSE_MILLIS);
    assertThat(deadline.remainingMillis(100 + RESPONSE_MILLIS)).isEmpty();
  }

  /** Guards against a list that stays outdated while its response arrives byte by byte. */
  @Test
  void aResponseOfFewBytesAtATimeIsGivenUp() {
    long now = 0;
    OptionalLong remaining = deadline.remainingMillis(now);
    while (remaining.isPresent() && now < 10 * RESPONSE_MILLIS) {
      now += Math.min(100, remaining.getAsLong());
      deadline.received(1, now);
      remaining = deadline.remainingMillis(now);
    }

    assertThat(now).isLessThan(2 * RESPONSE_MILLIS);
  }

  @Test
  void aResponseWithoutEndIsGivenUp() {
    long now = 0;
    OptionalLong remaining = deadline.remainingMillis(now);
    while (remaining.isPresent()) {
      now += 100;
      deadline.received(MEGABYTE, now);
      remaining = deadline.remainingMillis(now);
    }

    assertThat(now).isEqualTo(RESPONSE_MILLIS + ResponseDeadline.LONGEST_TRANSFER_MILLIS);
  }

  /** Guards against a response that has arrived and is given up by a timer of a busy event loop. */
  @Test
  void aLateCheckLeavesTimeToReadWhatHasArrived() {
    assertThat(deadline.remainingMillis(0)).hasValue(RESPONSE_MILLIS);
    long late = RESPONSE_MILLIS + ResponseDeadline.LATE_CHECK_MILLIS;

    assertThat(deadline.remainingMillis(late)).hasValue(ResponseDeadline.LATE_CHECK_GRACE_MILLIS);
    long later = late + 2 * ResponseDeadline.LATE_CHECK_GRACE_MILLIS;
    assertThat(deadline.remainingMillis(later)).isEmpty();
  }
}
