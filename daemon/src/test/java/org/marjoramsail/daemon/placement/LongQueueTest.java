package org.marjoramsail.daemon.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
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
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.RetryLimits;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.time.ManualClock;

final class LongQueueTest {

  private static final UpstreamName SERVER = new UpstreamName("ventanilla-0");
  private static final int WAITING = 20_000;
  private static final int SLOTS = 4;

  private static final Member SELF =
      new Member(
          new DaemonId("entry-1", 1), "127.0.0.1", 1, "zone-1", "litoral", MemberState.ALIVE);

  private final ManualClock clock = new ManualClock(1_000);

  // Guards against a stack overflow, after which grants are lost: each grant of a queue whose entry
  // has moved to another owner is withdrawn, and each withdrawal grants the next attempt.
  @Test
  void allAttemptsThatWaitAtAFormerOwnerAreWithdrawn() {
    DistributedPlacement placement = placement();
    for (int number = 0; number < SLOTS; number++) {
      placement.place(lookup("granted-" + number), unused -> {});
    }
    ShardId shard = placement.watchedShards().iterator().next();
    for (int number = 0; number < WAITING; number++) {
      placement.receive(
          SELF.id(), new PlacementMessage.Place(shard, lookup("moved-" + number), List.of()));
    }
    assertThat(placement.hasWaitingRequests()).isTrue();

    placement.configure(configuration(2, SLOTS + 1));
    placement.load(new LoadReport(SERVER, 1, UpstreamRole.PLAIN, SLOTS + 1, 0, 0, 0, false, 0));
    placement.tickOwned();

    assertThat(placement.hasWaitingRequests()).isFalse();
  }

  private DistributedPlacement placement() {
    ConfiguredShards shards =
        new ConfiguredShards(
            SELF, PlacementPolicy.RESERVE, PlacementSettings.defaults(), new Random(1), clock);
    DistributedPlacement placement =
        new DistributedPlacement(
            SELF.id(),
            shards,
            (to, message) -> {},
            PlacementTimings.standard(),
            RetryLimits.standard(),
            clock,
            new SimpleMeterRegistry(),
            new UpstreamFeedbackTable());
    placement.updateMembership(new MembershipView(SELF, List.of(SELF)));
    placement.configure(configuration(1, SLOTS));
    placement.load(new LoadReport(SERVER, 1, UpstreamRole.PLAIN, SLOTS, 0, 0, 0, false, 0));
    return placement;
  }

  private static Configuration configuration(long version, int slots) {
    return new Configuration(
        version,
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
                slots,
                false,
                false)),
        List.of(),
        List.of());
  }

  private static PlacementRequest lookup(String request) {
    return new PlacementRequest(
        new RequestId(request),
        1,
        new DaemonId("entry-1", 1),
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
