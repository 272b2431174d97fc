package org.marjoramsail.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.model.DaemonId;

/** Number of connections and speed of failure detection in large fleets. */
class SparseProbesTest {

  private static final long SECOND = 1_000;

  /** Time within which all daemons have to detect a failure. */
  private static final long RECOVERY_MILLIS = 4_000;

  /** Guards against slow starts of large fleets because each daemon connects to all others. */
  @ParameterizedTest
  @CsvSource({"30, 1", "77, 2", "100, 3", "300, 4"})
  void aDaemonOfALargeFleetSendsMessagesToFewOthers(int daemons, long seed) {
    VirtualFleet fleet = fleet(daemons, seed);
    fleet.run(20 * SECOND);
    Map<String, Set<String>> receivers = new HashMap<>();
    fleet.cut(
        (from, to) -> {
          receivers.computeIfAbsent(from.host(), unused -> new HashSet<>()).add(to.host());
          return false;
        });
    fleet.run(10 * SECOND);

    int few = Integer.SIZE - Integer.numberOfLeadingZeros(daemons);
    assertThat(receivers).hasSize(daemons);
    // A daemon sends to those that it pings, those that ping it and those whose digest it compares.
    assertThat(receivers.values()).allMatch(others -> others.size() <= 2 * few + 2);
  }

  /** Guards against requests to a failed host from daemons that have not detected the failure. */
  @ParameterizedTest
  @CsvSource({"30, 1", "30, 2", "77, 3", "77, 4", "77, 5", "100, 6", "100, 7"})
  void allDaemonsOfALargeFleetDetectAFailureBeforeTheDeadline(int daemons, long seed) {
    VirtualFleet fleet = fleet(daemons, seed);
    fleet.run(20 * SECOND);
    assertThat(fleet.running())
        .allMatch(viewer -> fleet.view(viewer.host()).members().size() == daemons);

    fleet.kill("host-7");
    fleet.run(RECOVERY_MILLIS);

    List<DaemonId> unaware =
        fleet.running().stream()
            .filter(
                viewer ->
                    fleet
                        .observedState(viewer.host(), "host-7")
                        .equals(Optional.of(MemberState.ALIVE)))
            .toList();
    assertThat(unaware).isEmpty();
  }

  private static VirtualFleet fleet(int daemons, long seed) {
    VirtualFleet fleet =
        new VirtualFleet(
            MembershipSettings.defaults(), new SplittableRandom(seed), (from, message) -> {});
    for (int number = 0; number < daemons; number++) {
      fleet.start("host-" + number, "zone-" + number % 3, "region");
    }
    return fleet;
  }
}
