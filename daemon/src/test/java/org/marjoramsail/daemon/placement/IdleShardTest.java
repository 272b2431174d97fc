package org.marjoramsail.daemon.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.feedback.UpstreamFeedbackTable;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.LoadReport;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.RetryLimits;
import org.marjoramsail.core.time.ManualClock;

final class IdleShardTest {

  private static final UpstreamName SERVER = new UpstreamName("ventanilla-0");
  private static final long IDLE_MILLIS = 60_000;
  private static final long REPORT_MILLIS = 500;

  private final ManualClock clock = new ManualClock(1_000);

  // Guards against a refusal with deadline-unreachable of the first request after an idle minute:
  // a shard that its owner has closed reopens without load reports, and the request waits for them
  // beyond its deadline.
  @Test
  void theFirstRequestAfterAnIdlePeriodIsGrantedAtOnce() {
    for (String host : List.of("entry-1", "entry-2")) {
      DistributedPlacement placement = placementOf(host);
      List<PlacementResult> results = new ArrayList<>();
      for (long passed = 0; passed < IDLE_MILLIS; passed += REPORT_MILLIS) {
        clock.advance(REPORT_MILLIS);
        placement.load(new LoadReport(SERVER, 1, UpstreamRole.PLAIN, 4, 0, 0, 0, false, 0));
        placement.tickOwned();
      }
      placement.place(lookup(host), results::add);
      placement.tickOwned();

      if (!placement.watchedShards().isEmpty()) {
        assertThat(results).singleElement().isInstanceOf(PlacementResult.Granted.class);
        return;
      }
    }
    throw new AssertionError("None of the two daemons ranks first for the shard.");
  }

  private DistributedPlacement placementOf(String host) {
    Member self = member(host);
    ConfiguredShards shards =
        new ConfiguredShards(
            self, PlacementPolicy.RESERVE, PlacementSettings.defaults(), new Random(1), clock);
    DistributedPlacement placement =
        new DistributedPlacement(
            self.id(),
            shards,
            (to, message) -> {},
            PlacementTimings.standard(),
            RetryLimits.standard(),
            clock,
            new SimpleMeterRegistry(),
            new UpstreamFeedbackTable());
    placement.updateMembership(
        new MembershipView(self, List.of(member("entry-1"), member("entry-2"))));
    placement.configure(configuration());
    return placement;
  }

  private static Configuration configuration() {
    return new Configuration(
        1,
        List.of(new ServiceDefinition("ventanilla", ServiceKind.PLAIN, Optional.empty())),
        List.of(),
        List.of(
            new UpstreamDefinition(
                SERVER,
                "ventanilla",
                UpstreamRole.PLAIN,
                "127.0.0.1",
                9,
                "zone-1",
                "litoral",
                4,
                false,
                false)),
        List.of(),
        List.of());
  }

  private static Member member(String host) {
    return new Member(
        new DaemonId(host, 1), "127.0.0.1", 1, "zone-1", "litoral", MemberState.ALIVE);
  }

  private static PlacementRequest lookup(String host) {
    return new PlacementRequest(
        new RequestId("lookup-1"),
        1,
        new DaemonId(host, 1),
        "ventanilla",
        "rosario",
        "lookups",
        ServiceClass.QUICK,
        0,
        0,
        List.of(),
        0,
        250,
        3_000,
        List.of(),
        Optional.empty(),
        false);
  }
}
