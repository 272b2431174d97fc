package org.marjoramsail.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.time.ManualClock;

/** The size of the fleet as daemons know it from the leases of hosts in a store. */
class HostLeasesTest {

  private static final int HOSTS = 10;
  private static final long STEP_MILLIS = 200;
  private static final long MINUTE_MILLIS = 60_000;

  private final ManualClock clock = new ManualClock(1_000_000);
  private final VirtualHostStore store = new VirtualHostStore();
  private final Random random = new Random(5);
  private final Map<Integer, HostLeases> running = new TreeMap<>();

  /** Guards against a daemon of a restarted fleet that counts itself alone. */
  @Test
  void aDaemonThatStartsAgainCountsAllHostsThatTheStoreKnows() {
    startAll();
    run(5 * MINUTE_MILLIS);
    running.clear();
    start(3);
    run(STEP_MILLIS);

    assertThat(running.get(3).addresses()).hasSize(HOSTS);
    assertThat(running.get(3).isComplete(clock.millis())).isTrue();
  }

  /** Guards against a fleet that holds back the limits of hosts that have ended for good. */
  @Test
  void hostsThatAreNotRenewedStopCountingAndAreRemoved() {
    startAll();
    run(5 * MINUTE_MILLIS);
    running.keySet().removeIf(host -> host >= 2);
    run(HostLeases.LEASE_MILLIS / 2);
    assertThat(running.get(0).addresses()).hasSize(HOSTS);

    run(2 * HostLeases.LEASE_MILLIS);

    assertThat(running.get(1).addresses()).containsExactly(address(0), address(1));
    assertThat(store.hosts()).containsExactly("host-0", "host-1");
  }

  /** Guards against leases that begin anew with each removal that the store refuses. */
  @Test
  void hostsThatAreNotRenewedStopCountingWhereTheStoreRemovesNothing() {
    store.removing(false);
    startAll();
    run(5 * MINUTE_MILLIS);
    running.remove(9);
    run(2 * HostLeases.LEASE_MILLIS);
    running.keySet().removeIf(host -> host >= 2);
    long before = store.calls();

    run(3 * HostLeases.LEASE_MILLIS);

    assertThat(running.get(1).addresses()).containsExactly(address(0), address(1));
    assertThat(store.hosts()).hasSize(HOSTS);
    assertThat(store.calls() - before).isLessThan(60);
  }

  /** Guards against an outage of the store that looks like the death of all hosts. */
  @Test
  void noLeaseEndsWhileTheStoreIsAwayOrReadOnly() {
    startAll();
    run(5 * MINUTE_MILLIS);
    store.available(false);
    run(10 * MINUTE_MILLIS);
    assertAllCount();
    store.available(true);
    store.writable(false);
    run(10 * MINUTE_MILLIS);
    assertAllCount();

    store.writable(true);
    run(10 * MINUTE_MILLIS);

    assertAllCount();
  }

  /** Guards against hosts that stop counting because the store lost what they wrote. */
  @Test
  void hostsThatABackupDoesNotHaveCountUntilTheyAreWrittenAgain() {
    start(0);
    run(5 * MINUTE_MILLIS);
    store.backUp();
    startAll();
    run(5 * MINUTE_MILLIS);

    store.restore();
    for (int step = 0; step < 5 * MINUTE_MILLIS / STEP_MILLIS; step++) {
      run(STEP_MILLIS);
      assertAllCount();
    }

    assertThat(store.hosts()).hasSize(HOSTS);
  }

  /** Guards against a fleet that forgets its size when it is stopped and started in good order. */
  @Test
  void hostsThatAnnouncedTheirEndCountForARestartAndNoLonger() {
    startAll();
    run(5 * MINUTE_MILLIS);
    running.values().forEach(HostLeases::leave);
    run(10 * STEP_MILLIS);
    running.clear();
    start(0);
    start(1);
    run(STEP_MILLIS);
    assertThat(running.get(0).addresses()).hasSize(HOSTS);

    run(2 * MINUTE_MILLIS);

    assertThat(running.get(0).addresses()).containsExactly(address(0), address(1));
  }

  /** Guards against a whole limit for each of many hosts that are not in the store yet. */
  @Test
  void theListOfANewFleetIsIncompleteUntilAllHostsHaveHadTheTimeToWrite() {
    startAll();
    run(MINUTE_MILLIS);
    assertAllCount();
    assertThat(running.get(0).isComplete(clock.millis())).isFalse();

    run(HostLeases.LEASE_MILLIS);

    assertThat(running.get(0).isComplete(clock.millis())).isTrue();
  }

  /** Guards against a renewal whose response was lost and whose revision is refused for good. */
  @Test
  void aRenewalWhoseResponseWasLostIsReadAndFollowedByOthers() {
    start(0);
    run(5 * MINUTE_MILLIS);
    HostLeases leases = running.get(0);
    HostLeaseCall lost = nextRenewal(leases);
    store.call(lost, clock.millis());
    leases.failed(clock.millis());

    HostLeaseCall.Renew renewal = nextRenewal(leases);
    store.call(renewal, clock.millis()).handle(leases, clock.millis());

    assertThat(leases.addresses()).containsExactly(address(0));
    assertThat(leases.next(clock.millis())).isNotEqualTo(renewal);
  }

  /** Guards against calls that grow with the fleet beyond the rates of the store. */
  @Test
  void eachDaemonOfALargeFleetCallsTheStoreTwiceAMinute() {
    int hosts = 390;
    IntStream.range(0, hosts).forEach(this::start);
    run(10 * MINUTE_MILLIS);
    long before = store.calls();

    run(10 * MINUTE_MILLIS);

    assertThat(store.calls() - before).isBetween(18L * hosts, 23L * hosts);
    assertThat(running.get(7).addresses()).hasSize(hosts);
  }

  private HostLeaseCall.Renew nextRenewal(HostLeases leases) {
    while (true) {
      clock.advance(STEP_MILLIS);
      HostLeaseCall call = leases.next(clock.millis()).orElse(null);
      if (call instanceof HostLeaseCall.Renew renewal) {
        return renewal;
      } else if (call != null) {
        store.call(call, clock.millis()).handle(leases, clock.millis());
      }
    }
  }

  private void assertAllCount() {
    List<PeerAddress> all = IntStream.range(0, HOSTS).mapToObj(HostLeasesTest::address).toList();
    running.values().forEach(leases -> assertThat(leases.addresses()).hasSameElementsAs(all));
  }

  private void startAll() {
    IntStream.range(0, HOSTS).filter(host -> !running.containsKey(host)).forEach(this::start);
  }

  private void start(int host) {
    running.put(host, new HostLeases("host-" + host, address(host), random, clock.millis()));
  }

  private void run(long millis) {
    for (long passed = 0; passed < millis; passed += STEP_MILLIS) {
      running.values().forEach(this::callIfDue);
      clock.advance(STEP_MILLIS);
    }
  }

  private void callIfDue(HostLeases leases) {
    leases
        .next(clock.millis())
        .ifPresent(call -> store.call(call, clock.millis()).handle(leases, clock.millis()));
  }

  private static PeerAddress address(int host) {
    return new PeerAddress("10.0.0." + host, 7400);
  }
}
