package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Calls whose daemon refuses the connection after a network path has accepted it. */
final class RefusedConnectionsTest {

  private static final String REQUEST = "soak-1";
  private static final String HOST = "host-1";
  private static final int PORT = 40_000;
  private static final long SENT_MILLIS = 100_000;

  private final RefusedConnections connections = new RefusedConnections();

  @Test
  void aCallIsRefusedWithItsConnection() {
    connections.sent(REQUEST, HOST, PORT, SENT_MILLIS);
    connections.refused(HOST, PORT, SENT_MILLIS + 5);

    assertThat(connections.isRefused(REQUEST)).isTrue();
  }

  @Test
  void theRefusalMayBeRecordedBeforeTheCall() {
    connections.refused(HOST, PORT, SENT_MILLIS - 1);
    connections.sent(REQUEST, HOST, PORT, SENT_MILLIS);

    assertThat(connections.isRefused(REQUEST)).isTrue();
  }

  /** Guards against a lost call that is excused by the refusal of another one. */
  @Test
  void theRefusalOfAnotherConnectionRefusesNoCall() {
    connections.sent(REQUEST, HOST, PORT, SENT_MILLIS);
    connections.refused("host-2", PORT, SENT_MILLIS);
    connections.refused(HOST, PORT + 1, SENT_MILLIS);

    assertThat(connections.isRefused(REQUEST)).isFalse();
  }

  @Test
  void aRefusalDoesNotCountForALaterConnectionFromTheSamePort() {
    connections.refused(HOST, PORT, SENT_MILLIS - 1_001);
    connections.sent(REQUEST, HOST, PORT, SENT_MILLIS);

    assertThat(connections.isRefused(REQUEST)).isFalse();
  }
}
