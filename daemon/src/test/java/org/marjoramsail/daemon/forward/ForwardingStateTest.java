package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.discovery.ListedUpstream;
import org.marjoramsail.core.discovery.RetentionBounds;
import org.marjoramsail.core.discovery.RevisionGap;
import org.marjoramsail.core.discovery.StoreRevision;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.routing.CallerLimits;
import org.marjoramsail.core.routing.RouteTable;
import org.marjoramsail.core.routing.RoutedService;
import org.marjoramsail.core.routing.RoutingConfiguration;

class ForwardingStateTest {

  private static final long SETTLED_MILLIS = 10_000;

  /** How long streams of a route may last whose timeout is not known to have been longer. */
  private static final long OLDEST_STREAM_MILLIS = 30_000;

  private long now;
  private final List<Configuration> published = new ArrayList<>();
  private final List<Incarnation> newIncarnations = new ArrayList<>();
  private final ForwardingState state =
      new ForwardingState(
          () -> now,
          new RetentionBounds(3_000, 1_200),
          published::add,
          listed -> newIncarnations.add(listed.incarnation()));

  @BeforeEach
  void publishInitialState() {
    state.updateRoutes(
        new RoutingConfiguration(
            1,
            new RouteTable(List.of()),
            List.of(new RoutedService("desk", 100, Optional.empty())),
            new CallerLimits(1, 1, 1, 1)));
    state.replaceUpstreams(List.of(upstream("a"), upstream("b")), List.of());
    now += SETTLED_MILLIS;
    published.clear();
    newIncarnations.clear();
  }

  /**
   * Guards against rebuilding the pools for each upstream of a replaced service, which delays all
   * requests of the daemon.
   */
  @Test
  void changesOfOneBatchArePublishedOnce() {
    state.applyTogether(
        () -> {
          state.upstreamRemoved(new UpstreamName("a"));
          state.updateUpstream(upstream("c"));
          state.updateUpstream(upstream("d"));
          assertThat(published).isEmpty();
        });

    assertThat(published).hasSize(1);
    assertThat(published.get(0).upstreams())
        .extracting(upstream -> upstream.name().value())
        .containsExactlyInAnyOrder("b", "c", "d");
    assertThat(newIncarnations)
        .extracting(incarnation -> incarnation.upstream().value())
        .containsExactlyInAnyOrder("c", "d");
    assertThat(state.incarnations()).hasSize(3);
  }

  @Test
  void changesWithoutEffectPublishNothing() {
    state.applyTogether(() -> state.upstreamRemoved(new UpstreamName("unknown")));

    assertThat(published).isEmpty();
  }

  /**
   * Guards against a leaving upstream that still receives requests because another entry is broken.
   */
  @Test
  void changesBeforeAnExceptionArePublished() {
    assertThatThrownBy(
            () ->
                state.applyTogether(
                    () -> {
                      state.upstreamRemoved(new UpstreamName("a"));
                      throw new IllegalStateException("thrown by the test");
                    }))
        .isInstanceOf(IllegalStateException.class);

    assertThat(published).hasSize(1);
    state.updateUpstream(upstream("c"));
    assertThat(published).hasSize(2);
  }

  /** Guards against reads of the store by all daemons after their start, which tell no version. */
  @Test
  void noGapIsToBeClosedBeforeTheHistoryIsAsLongAsStreamsMayLast() {
    long listedAtMillis = now - SETTLED_MILLIS;
    gap(1);

    now = listedAtMillis + OLDEST_STREAM_MILLIS - 1;
    assertThat(state.oldestUpstreamGap()).isEmpty();
    now = listedAtMillis + OLDEST_STREAM_MILLIS;
    assertThat(state.oldestUpstreamGap()).contains(new StoreRevision(1, 1));
  }

  /** Guards against reads of the store that grow with the time since a gap that stays open. */
  @Test
  void noGapIsToBeClosedOnceNoStreamIsFromBeforeItsEnd() {
    gap(1);
    now += OLDEST_STREAM_MILLIS;
    gap(3);

    assertThat(state.oldestUpstreamGap()).contains(new StoreRevision(1, 3));
  }

  private void gap(long after) {
    state.replaceUpstreams(
        List.of(upstream("a"), upstream("b")),
        List.of(),
        new RevisionGap(new StoreRevision(1, after), new StoreRevision(1, after + 1)));
  }

  private static ListedUpstream upstream(String name) {
    return new ListedUpstream(
        new UpstreamDefinition(
            new UpstreamName(name),
            "desk",
            UpstreamRole.PLAIN,
            "10.0.0.1",
            80,
            "zone",
            "region",
            4,
            true,
            false),
        new StoreRevision(1, 5));
  }
}
