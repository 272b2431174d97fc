package org.marjoramsail.daemon.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.core.configuration.RevisionSource;
import org.marjoramsail.daemon.configuration.FakeStore.Fault;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

final class ConfigurationSpreadingTest {

  private static final long MINUTE_MILLIS = 60_000;

  private static FakeFleet running(int size) {
    FakeFleet fleet = new FakeFleet(size, 7);
    fleet.daemons.get(0).service.accept(Samples.creating("first", Samples.configuration(20, 10)));
    fleet.start();
    fleet.run(20_000, 250);
    return fleet;
  }

  private static Future<ChangeResult> order(FakeFleet fleet, int daemon, String version) {
    return fleet
        .daemons
        .get(daemon)
        .service
        .accept(Samples.putting("to-" + version, Samples.model("lector-8b", version)));
  }

  @Test
  void aChangeAcceptedByOneOfSevenIsInForceOnAllWithinASecond() {
    FakeFleet fleet = running(7);

    order(fleet, 5, "v2");
    fleet.run(1_000, 250);

    assertThat(fleet.daemons).allMatch(daemon -> daemon.current().revision() == 2);
  }

  @Test
  void aDaemonThatStartsInAStoreOutageTakesTheNewestRevisionFromItsPeers() {
    // The store goes down after revision 2. A host is replaced, and its daemon starts with nothing.
    // An empty or old configuration would refuse callers whom all other daemons serve.
    FakeFleet fleet = running(7);
    order(fleet, 1, "v2");
    fleet.run(1_000, 250);
    fleet.store.faults(call -> Fault.UNAVAILABLE);

    FakeFleet.Daemon fresh = fleet.restart(3);
    assertThat(fresh.service.isReady()).isFalse();
    fleet.run(3_000, 250);

    assertThat(fresh.current().revision()).isEqualTo(2);
    assertThat(fresh.service.isReady()).isTrue();
    assertThat(fresh.service.source()).isEqualTo(RevisionSource.PEER);
  }

  @Test
  void aDaemonThatFindsNeitherStoreNorPeersIsNotReady() {
    FakeFleet fleet = new FakeFleet(1, 1);
    fleet.store.faults(call -> Fault.UNAVAILABLE);
    fleet.start();
    fleet.run(MINUTE_MILLIS, 250);

    assertThat(fleet.daemons.get(0).service.isReady()).isFalse();
    assertThat(fleet.daemons.get(0).service.isStoreReachable()).isFalse();

    fleet.store.faults(call -> Fault.NONE);
    fleet.daemons.get(0).service.accept(Samples.creating("first", Samples.configuration(2, 1)));
    fleet.run(1_000, 250);
    assertThat(fleet.daemons.get(0).service.isReady()).isTrue();
  }

  @Test
  void aStoreRestoredFromABackupTakesNobodyBack() {
    // Revision 3 is in force. The platform puts back a backup with revision 2, and every watch says
    // so. Daemons that follow it would undo an accepted change.
    FakeFleet fleet = running(7);
    order(fleet, 0, "v2");
    var backup = fleet.store.find(RootObject.KIND, RootObject.NAME).orElseThrow();
    order(fleet, 0, "v3");
    fleet.run(1_000, 250);

    fleet.store.restore(backup);
    fleet.store.endWatches(Failure.VERSION_TOO_OLD);
    fleet.run(MINUTE_MILLIS, 250);

    assertThat(fleet.daemons).allMatch(daemon -> daemon.current().revision() == 3);
    ChangeResult refused = order(fleet, 1, "v4").result();
    assertThat(((ChangeResult.Refused) refused).refusal().code()).isEqualTo("store-behind");
  }

  @Test
  void anOperatorLearnsOnHowManyDaemonsARevisionIsInForceAndWhichLag() {
    FakeFleet fleet = running(7);
    FakeFleet.Daemon cutOff = fleet.daemons.get(4);
    fleet.lost = envelope -> envelope.to().equals(cutOff.member.id());
    order(fleet, 0, "v2");
    fleet.run(1_000, 250);

    Future<InForceReport> report = fleet.daemons.get(0).service.inForce(2, 2_000);
    fleet.run(2_500, 250);

    assertThat(report.result().toString()).isEqualTo("revision 2 in force on 6 of 7");
    assertThat(report.result().lagging())
        .extracting(InForceReport.Lagging::host)
        .containsExactly("entry-4");
    assertThat(report.result().lagging().get(0).revision()).isEmpty();
  }

  @Test
  void fewDaemonsCallTheStoreAtRestAndNoHerdFollowsAnOutage() {
    // Forty daemons run and the store goes down for five minutes. When it is back, all that wanted
    // it call at once, it refuses for its budget, and the outage goes on for another round.
    FakeFleet fleet = running(40);
    int before = fleet.store.calls().size();
    for (int minute = 0; minute < 10; minute++) {
      fleet.run(MINUTE_MILLIS, 1_000);
      fleet.store.bookmark();
    }
    int atRest = fleet.store.calls().size() - before;

    fleet.store.endWatches(Failure.UNAVAILABLE);
    fleet.store.faults(call -> Fault.UNAVAILABLE);
    Map<Long, Integer> callsBySecond = new TreeMap<>();
    for (int second = 0; second < 400; second++) {
      if (second == 300) {
        fleet.store.faults(call -> Fault.NONE);
      }
      int earlier = fleet.store.calls().size();
      fleet.run(1_000, 250);
      callsBySecond.put((long) second, fleet.store.calls().size() - earlier);
    }

    assertThat(fleet.store.openWatches()).isEqualTo(4);
    assertThat(atRest / (40.0 * 600)).isLessThan(0.2);
    assertThat(callsBySecond.values()).allMatch(calls -> calls <= 8);
  }
}
