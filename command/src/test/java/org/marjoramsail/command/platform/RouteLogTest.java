package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class RouteLogTest {

  private static final String HOST = "daemon-1";
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;

  private final RouteLog log = new RouteLog();

  /** Guards against a soak that takes an outdated daemon for a sound one. */
  @Test
  void anAddedRouteThatIsRefusedAfterItsTimeIsOutdated() {
    log.changed(10, 1_000);
    log.responded(HOST, 9, NOT_FOUND, 1_000 + RouteLog.APPLY_MILLIS - 1, true);
    assertThat(log.result().outdated()).isEmpty();

    log.responded(HOST, 9, NOT_FOUND, 1_000 + RouteLog.APPLY_MILLIS, true);
    assertThat(log.result().outdated()).hasSize(1);
  }

  @Test
  void aDroppedRouteThatIsServedAfterItsTimeIsOutdated() {
    log.changed(10, 1_000);
    log.changed(5, 2_000);
    log.responded(HOST, 7, OK, 3_500, true);
    assertThat(log.result().outdated()).isEmpty();

    log.responded(HOST, 7, OK, 4_000, true);
    assertThat(log.result().outdated()).hasSize(1);
  }

  /** Guards against a soak that blames a daemon for a version that it may have. */
  @Test
  void whatANewerVersionAllowsIsNotOutdated() {
    log.changed(10, 1_000);
    log.changed(0, 5_000);
    log.responded(HOST, 9, NOT_FOUND, 5_100, true);
    log.responded(HOST, 9, OK, 5_100, true);
    log.responded(HOST, 9, NOT_FOUND, 9_000, true);
    log.responded(HOST, 9, OK, 9_000, false);

    assertThat(log.result().outdated()).isEmpty();
    assertThat(log.result().requests()).isEqualTo(4);
    assertThat(log.result().judged()).isEqualTo(3);
  }
}
