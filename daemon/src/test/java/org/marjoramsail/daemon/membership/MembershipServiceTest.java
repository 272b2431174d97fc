package org.marjoramsail.daemon.membership;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipSettings;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.membership.MembershipMeasurement.Row;
import org.marjoramsail.daemon.peer.PeerBounds;
import org.marjoramsail.daemon.peer.PeerFaults;
import org.marjoramsail.daemon.peer.PeerNetwork;
import org.marjoramsail.daemon.peer.PeerSettings;

final class MembershipServiceTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final Clock CLOCK = () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime());

  private Vertx vertx;

  @BeforeEach
  void open() {
    vertx = Vertx.vertx();
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void daemonsDiscoverEachOtherAndDetectALeaveAndAFailureOverSockets() throws Exception {
    Daemon one = new Daemon("one", List.of());
    List<PeerAddress> seeds = List.of(one.network.listening());
    Daemon two = new Daemon("two", seeds);
    Daemon three = new Daemon("three", seeds);
    for (Daemon daemon : List.of(one, two, three)) {
      daemon.awaitView(view -> aliveHosts(view).equals(Set.of("one", "two", "three")));
    }

    three.membership.leave();
    one.awaitView(view -> state(view, "three").equals(Optional.of(MemberState.LEAVING)));
    await(three.membership.stop());
    await(three.network.stop());
    one.awaitView(view -> state(view, "three").equals(Optional.of(MemberState.LEFT)));

    await(two.network.stop());
    one.awaitView(view -> state(view, "two").equals(Optional.of(MemberState.DEAD)));
    assertThat(one.membership.statistics().deaths()).isPositive();
  }

  @Test
  void measurementsWithTheSameSeedAreEqual() {
    Row first = measure();
    Row second = measure();
    assertThat(first.detection()).isEqualTo(second.detection());
    assertThat(first.steady().sentBytesPerSecond())
        .isEqualTo(second.steady().sentBytesPerSecond())
        .isPositive();
  }

  private static Row measure() {
    return new MembershipMeasurement(MembershipSettings.defaults(), 1, 2)
        .measure(List.of(7))
        .rows()
        .get(0);
  }

  private static Set<String> aliveHosts(MembershipView view) {
    return view.members().stream()
        .filter(member -> member.state() == MemberState.ALIVE)
        .map(member -> member.id().host())
        .collect(Collectors.toSet());
  }

  private static Optional<MemberState> state(MembershipView view, String host) {
    return view.members().stream()
        .filter(member -> member.id().host().equals(host))
        .map(Member::state)
        .findFirst();
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  private final class Daemon {
    final PeerNetwork network;
    final MembershipService membership;

    Daemon(String host, List<PeerAddress> seeds) throws Exception {
      PeerSettings settings =
          new PeerSettings(
              "127.0.0.1",
              0,
              "cluster",
              "key",
              new DaemonId(host, 1),
              "zone",
              "region",
              PeerBounds.defaults());
      SimpleMeterRegistry registry = new SimpleMeterRegistry();
      PeerDirectory directory = new PeerDirectory();
      network =
          new PeerNetwork(
              vertx, settings, CLOCK, registry, new Random(1), directory, PeerFaults.NONE);
      await(network.start());
      membership =
          new MembershipService(
              vertx,
              network,
              directory,
              settings,
              MembershipSettings.defaults(),
              seeds,
              CLOCK,
              registry,
              new Random(2));
      membership.start();
    }

    void awaitView(Predicate<MembershipView> condition) throws Exception {
      CompletableFuture<Void> satisfied = new CompletableFuture<>();
      membership.listen(
          view -> {
            if (condition.test(view)) {
              satisfied.complete(null);
            }
          });
      if (!condition.test(membership.view())) {
        satisfied.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      }
    }
  }
}
