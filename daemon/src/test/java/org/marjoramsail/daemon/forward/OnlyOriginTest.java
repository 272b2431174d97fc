package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.discovery.ListedUpstream;
import org.marjoramsail.core.discovery.RetentionBounds;
import org.marjoramsail.core.discovery.StoreRevision;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.routing.CallerLimits;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.RouteTable;
import org.marjoramsail.core.routing.RoutedService;
import org.marjoramsail.core.routing.RoutingConfiguration;
import org.marjoramsail.core.routing.WeightedService;
import org.marjoramsail.core.stream.StreamOrigin;
import org.marjoramsail.core.time.ManualClock;

/** Where a daemon assumes that a stream began of which nobody has a record. */
final class OnlyOriginTest {

  private static final String SERVICE = "assistant";
  private static final String OLD = "v1";
  private static final String NEW = "v2";
  private static final long LONG_TIMEOUT_MILLIS = 14_000;
  private static final long SHORT_TIMEOUT_MILLIS = 2_000;

  private final ManualClock clock = new ManualClock(0);
  private ForwardingState state = newState();
  private long version;

  /** Guards against a daemon without any record that takes one listed version for the only one. */
  @Test
  void aDaemonThatHasJustStartedKnowsNoOrigin() {
    configure(LONG_TIMEOUT_MILLIS);
    list(NEW);

    clock.advance(LONG_TIMEOUT_MILLIS);

    assertThat(origin(LONG_TIMEOUT_MILLIS)).isEmpty();
  }

  /** Guards against streams of two versions after all daemons started with a shorter timeout. */
  @Test
  void aDaemonThatStartedAfterATimeoutWasShortenedKnowsNoOriginOfStreamsFromBefore() {
    state = newState();
    configure(SHORT_TIMEOUT_MILLIS);
    list(NEW);

    clock.advance(LONG_TIMEOUT_MILLIS);

    assertThat(origin(SHORT_TIMEOUT_MILLIS)).isEmpty();
  }

  /** Guards against the same at a daemon that saw the longer timeout. */
  @Test
  void aStreamThatBeganUnderALongerTimeoutIsNotGivenToTheOnlyVersionThatIsLeft() {
    configure(4 * LONG_TIMEOUT_MILLIS);
    list(OLD, NEW);
    clock.advance(RetentionBounds.REAPPEARANCE_MILLIS);
    state.upstreamRemoved(name(OLD));
    configure(SHORT_TIMEOUT_MILLIS);

    clock.advance(4 * LONG_TIMEOUT_MILLIS);

    assertThat(origin(SHORT_TIMEOUT_MILLIS)).isEmpty();
  }

  /** Guards against streams that are refused although one version has served all the time. */
  @Test
  void theOnlyVersionForAsLongAsStreamsLastIsTheOrigin() {
    configure(LONG_TIMEOUT_MILLIS);
    list(NEW);

    clock.advance(60_000);
    state.upstreamListResponded();

    assertThat(origin(LONG_TIMEOUT_MILLIS))
        .contains(new StreamOrigin(SERVICE, new SoftwareVersion(NEW)));
  }

  private Optional<StreamOrigin> origin(long timeoutMillis) {
    return state.onlyOrigin(route(timeoutMillis));
  }

  private ForwardingState newState() {
    return new ForwardingState(
        clock, new RetentionBounds(3_000, 1_200), published -> {}, listed -> {});
  }

  private void configure(long timeoutMillis) {
    state.updateRoutes(
        new RoutingConfiguration(
            ++version,
            new RouteTable(List.of(route(timeoutMillis))),
            List.of(new RoutedService(SERVICE, 100, Optional.empty())),
            new CallerLimits(1, 1, 1, 1)));
  }

  private void list(String... versions) {
    state.replaceUpstreams(
        List.of(versions).stream().map(OnlyOriginTest::engine).toList(), List.of());
  }

  private static UpstreamName name(String version) {
    return new UpstreamName("engine-" + version);
  }

  private static Route route(long timeoutMillis) {
    return new Route(
        "summaries",
        "desk.example",
        "/summaries/",
        Repeatability.IDEMPOTENT,
        true,
        timeoutMillis,
        900,
        300,
        0,
        2,
        List.of(new WeightedService(SERVICE, 1)));
  }

  private static ListedUpstream engine(String version) {
    return new ListedUpstream(
        new UpstreamDefinition(
                name(version),
                SERVICE,
                UpstreamRole.DECODE,
                "10.0.0.1",
                80,
                "zone",
                "region",
                4,
                true,
                false)
            .withSoftwareVersion(new SoftwareVersion(version)),
        new StoreRevision(1, 5));
  }
}
