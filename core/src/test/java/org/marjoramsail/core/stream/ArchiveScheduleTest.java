package org.marjoramsail.core.stream;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.SoftwareVersion;

class ArchiveScheduleTest {

  private static final int HOSTS = 7;
  private static final long LIFETIME_MILLIS = 28_000;
  private static final String SERVICE = "lector";

  private final ArchiveSchedule schedule = new ArchiveSchedule();
  private Predicate<String> unclear = Set.of(SERVICE)::contains;

  @Test
  void aStreamIsWrittenAtOnceAndTheNextAfterAPause() {
    schedule.add(stream(1), 0);
    assertThat(schedule.begin(HOSTS, unclear, 0)).isTrue();
    schedule.add(stream(2), 10);
    assertThat(schedule.begin(HOSTS, unclear, 600)).isFalse();
    schedule.written();

    assertThat(schedule.begin(HOSTS, unclear, 499)).isFalse();
    assertThat(schedule.begin(HOSTS, unclear, 500)).isTrue();
    assertThat(schedule.streams(HOSTS, unclear, 500)).hasSize(2);
  }

  /** Guards against writes that tell nothing new. */
  @Test
  void nothingIsWrittenWithoutNewStreams() {
    schedule.add(stream(1), 0);
    schedule.begin(HOSTS, unclear, 0);
    schedule.written();

    assertThat(schedule.begin(HOSTS, unclear, 10_000)).isFalse();
  }

  @Test
  void aFailedWriteIsRepeatedAfterThePause() {
    schedule.add(stream(1), 0);
    schedule.begin(HOSTS, unclear, 0);
    schedule.failed();

    assertThat(schedule.begin(HOSTS, unclear, 499)).isFalse();
    assertThat(schedule.begin(HOSTS, unclear, 500)).isTrue();
  }

  /** Guards against streams from before a release that are lost with all daemons during it. */
  @Test
  void streamsThatBeganWhileTheirServiceWasClearAreWrittenOnceItIsNot() {
    unclear = service -> false;
    schedule.add(stream(1), 0);
    assertThat(schedule.begin(HOSTS, unclear, 0)).isFalse();
    unclear = service -> true;

    assertThat(schedule.begin(HOSTS, unclear, 500)).isTrue();
    assertThat(schedule.streams(HOSTS, unclear, 500)).hasSize(1);
  }

  /** Guards against more writes than the store takes, and more than tell other changes apart. */
  @Test
  void aFleetWritesNoMoreThanSixteenTimesASecond() {
    int hosts = 32;
    int writes = 0;
    for (long nowMillis = 0; nowMillis < 60_000; nowMillis += 10) {
      schedule.add(stream(nowMillis), nowMillis);
      if (schedule.begin(hosts, unclear, nowMillis)) {
        writes++;
        schedule.written();
      }
    }

    assertThat(writes * hosts).isLessThanOrEqualTo(16 * 60);
    assertThat(writes).isPositive();
  }

  /** Guards against control traffic that grows with the square of a large fleet. */
  @Test
  void aLargeFleetWritesNothing() {
    schedule.add(stream(1), 0);

    assertThat(schedule.begin(33, unclear, 0)).isFalse();
    assertThat(ArchiveSchedule.isFor(33)).isFalse();
  }

  /** Guards against objects that do not fit in one response of the store together. */
  @Test
  void aHostWritesTheNewestOfItsStreamsUpToItsShare() {
    for (int number = 0; number < 501; number++) {
      schedule.add(stream(number), 0);
    }

    List<StreamRecord> written = schedule.streams(32, unclear, 0);

    assertThat(written).hasSize(500).contains(stream(500)).doesNotContain(stream(0));
  }

  /** Guards against a host that starts again and replaces what it stored before. */
  @Test
  void whatTheStoreHasOfTheHostIsWrittenAgain() {
    schedule.add(stream(2), 0);
    schedule.begin(HOSTS, unclear, 0);
    schedule.restore(List.of(stream(1)), 0);

    assertThat(schedule.streams(HOSTS, unclear, 0)).containsExactly(stream(2), stream(1));
  }

  @Test
  void aStreamIsNotWrittenAfterItsLifetime() {
    schedule.add(stream(1), 0);
    schedule.expire(LIFETIME_MILLIS);

    assertThat(schedule.begin(HOSTS, unclear, LIFETIME_MILLIS)).isFalse();
  }

  private static StreamRecord stream(long number) {
    return new StreamRecord(
        StreamKey.of("rosario", "attempt-" + number),
        new StreamOrigin(SERVICE, new SoftwareVersion("v1")),
        LIFETIME_MILLIS);
  }
}
