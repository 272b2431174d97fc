package org.marjoramsail.daemon.forward;

import io.vertx.core.Vertx;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.time.Clock;

/**
 * Opens connections to an upstream after the connection of a request to it was cut.
 *
 * <p>Guards against a crash that nobody notices: a restarted upstream has another name, and the
 * next request to the crashed one may come from another daemon. A refused connection is reported
 * where it is opened. Runs on one event loop.
 */
final class UpstreamProbes {

  /**
   * Delays before the connections, in milliseconds. All of them are opened until a crash is proven
   * or disproved: the first may be accepted by a process that is about to end, which may take
   * longer on a busy machine, or be refused before this daemon has reached another upstream.
   */
  private static final List<Long> DELAYS_MILLIS = List.of(1L, 20L, 100L, 200L, 400L, 800L, 1_600L);

  private final Vertx vertx;
  private final UpstreamConnections connections;
  private final LivenessListener liveness;
  private final Clock clock;
  private final Set<Incarnation> probed = new HashSet<>();
  private Optional<UpstreamDefinition> lastResponding = Optional.empty();
  private Optional<UpstreamDefinition> previousResponding = Optional.empty();

  UpstreamProbes(
      Vertx vertx, UpstreamConnections connections, LivenessListener liveness, Clock clock) {
    this.vertx = vertx;
    this.connections = connections;
    this.liveness = liveness;
    this.clock = clock;
  }

  /** Records that an upstream responded. */
  void responded(UpstreamDefinition upstream) {
    if (!isSame(lastResponding, upstream)) {
      previousResponding = lastResponding;
      lastResponding = Optional.of(upstream);
    }
  }

  /** Starts to probe an upstream, unless it is being probed. */
  void connectionCut(UpstreamDefinition upstream) {
    if (probed.add(upstream.incarnation())) {
      probeLater(upstream, 0);
    }
  }

  private void probeLater(UpstreamDefinition upstream, int probe) {
    if (probe == DELAYS_MILLIS.size()) {
      probed.remove(upstream.incarnation());
    } else {
      vertx.setTimer(DELAYS_MILLIS.get(probe), fired -> probe(upstream, probe));
    }
  }

  private void probe(UpstreamDefinition upstream, int probe) {
    if (!liveness.mayHaveCrashed(upstream.name())) {
      probed.remove(upstream.incarnation());
      return;
    }
    connections
        .open(upstream)
        .onComplete(
            opened -> {
              if (opened.failed() && liveness.mayHaveCrashed(upstream.name())) {
                reachAnother(upstream);
              }
              probeLater(upstream, probe + 1);
            });
  }

  /**
   * Opens a connection to another upstream, without which a refusal proves nothing: this daemon may
   * have lost its network paths.
   */
  private void reachAnother(UpstreamDefinition refusing) {
    Optional<UpstreamDefinition> another =
        isSame(lastResponding, refusing) ? previousResponding : lastResponding;
    long startedAtMillis = clock.millis();
    another.ifPresent(
        upstream ->
            connections
                .open(upstream)
                .onSuccess(opened -> liveness.reached(upstream.name(), startedAtMillis)));
  }

  private static boolean isSame(Optional<UpstreamDefinition> one, UpstreamDefinition other) {
    return one.filter(found -> found.incarnation().equals(other.incarnation())).isPresent();
  }
}
