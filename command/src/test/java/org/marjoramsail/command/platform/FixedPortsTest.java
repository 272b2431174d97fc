package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

final class FixedPortsTest {

  private static final String ADDRESS = "127.0.0.1";

  /** First port of the ephemeral range. */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  private static final int COUNT = 30;

  private final FixedPorts ports = new FixedPorts();

  /** Guards against a process whose port a connection takes before the process listens on it. */
  @Test
  void portsAreDistinctAndNoneIsHandedOutByTheOperatingSystem() throws IOException {
    List<Integer> chosen = new ArrayList<>();
    for (int number = 0; number < COUNT; number++) {
      chosen.add(ports.next(ADDRESS).port());
    }

    assertThat(chosen).doesNotHaveDuplicates().allMatch(port -> port < FIRST_EPHEMERAL_PORT);
  }

  @Test
  void aPortOnWhichAnotherProgramListensIsPassedOver() throws IOException {
    int next = ports.next(ADDRESS).port() + 1;
    try (ServerSocket taken = new ServerSocket(next, 1, InetAddress.getLoopbackAddress())) {
      assertThat(ports.next(ADDRESS).port()).isGreaterThan(taken.getLocalPort());
    }
  }
}
