package org.marjoramsail.daemon.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.ChangeRefusal;
import org.marjoramsail.core.configuration.ChangeResult;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.configuration.FakeStore.Fault;

final class ChangeAcceptanceTest {

  private final ManualClock clock = new ManualClock(0);
  private final FakeTimers timers = new FakeTimers(clock);
  private final FakeStore store = new FakeStore();
  private final ChangeAcceptance acceptance =
      new ChangeAcceptance(
          store, clock, clock, new SplittableRandom(1), timers, () -> 0, new SimpleMeterRegistry());

  @BeforeEach
  void createTheFirstRevision() {
    acceptance.accept(Samples.creating("first", Samples.configuration(3, 1)));
  }

  private static Function<FakeStore.Call, Fault> onceOnReplace(Fault fault) {
    AtomicInteger seen = new AtomicInteger();
    return call ->
        call.verb().equals("replace") && seen.getAndIncrement() == 0 ? fault : Fault.NONE;
  }

  private ConfigurationRoot root() throws ConfigurationFormatException {
    return ConfigurationFormat.fromTree(
        store.find(RootObject.KIND, RootObject.NAME).orElseThrow().spec(), ConfigurationRoot.class);
  }

  private static long acceptedRevision(Future<ChangeResult> result) {
    return ((ChangeResult.Accepted) result.result()).record().revision();
  }

  private static ChangeRefusal refusal(Future<ChangeResult> result) {
    return ((ChangeResult.Refused) result.result()).refusal();
  }

  @Test
  void aChangeWhoseAnswerWasLostIsSettledByItsOwnOrder() throws Exception {
    // An operator orders a new version. The store takes it, and the connection breaks before the
    // answer. Ordering it a second time as another revision would undo what came in between.
    store.faults(onceOnReplace(Fault.ANSWER_LOST));

    Future<ChangeResult> result =
        acceptance.accept(Samples.putting("o1", Samples.model("lector-8b", "v2")));
    timers.advance(1_000);

    assertThat(acceptedRevision(result)).isEqualTo(2);
    assertThat(root().configuration().revision()).isEqualTo(2);
    assertThat(
            acceptedRevision(
                acceptance.accept(Samples.putting("o1", Samples.model("lector-8b", "v2")))))
        .isEqualTo(2);
  }

  @Test
  void aChangeThatMayStillArriveIsNeverSaidToBeRefused() throws Exception {
    // The update hangs in the network and the store then goes away. The daemon gives up. The update
    // arrives afterwards. Had the operator been told "not accepted", it would come as a surprise.
    Function<FakeStore.Call, Fault> first = onceOnReplace(Fault.LATE_EFFECT);
    store.faults(
        call -> {
          boolean written = store.calls().stream().anyMatch(c -> c.verb().equals("replace"));
          return written && !call.verb().equals("replace") ? Fault.UNAVAILABLE : first.apply(call);
        });

    Future<ChangeResult> result =
        acceptance.accept(Samples.putting("o1", Samples.model("lector-8b", "v2")));
    timers.advance(60_000);
    store.applyLateEffects();
    store.faults(call -> Fault.NONE);

    assertThat(refusal(result)).isEqualTo(new ChangeRefusal.Unsettled(new OrderId("o1")));
    assertThat(refusal(result).isProven()).isFalse();
    assertThat(root().configuration().models().get(0).version()).isEqualTo("v2");
    assertThat(
            acceptedRevision(
                acceptance.accept(Samples.putting("o1", Samples.model("lector-8b", "v2")))))
        .isEqualTo(2);
  }

  @Test
  void aStoreThatIsDownRefusesTruthfully() {
    store.faults(call -> Fault.UNAVAILABLE);

    Future<ChangeResult> result =
        acceptance.accept(Samples.putting("o1", Samples.model("lector-8b", "v2")));
    timers.advance(60_000);

    assertThat(refusal(result)).isInstanceOf(ChangeRefusal.StoreUnavailable.class);
    assertThat(refusal(result).isProven()).isTrue();
  }

  @Test
  void aRollBackIsANewRevisionWithTheOldContent() throws Exception {
    acceptance.accept(Samples.putting("o1", Samples.model("lector-8b", "v2")));

    Future<ChangeResult> result =
        acceptance.rollBack(new OrderId("o2"), "ana", "v2 is slow", Optional.of(2L), 1);

    assertThat(acceptedRevision(result)).isEqualTo(3);
    assertThat(root().configuration().models().get(0).version()).isEqualTo("v1");
    assertThat(refusal(acceptance.rollBack(new OrderId("o3"), "ana", "", Optional.empty(), 9)))
        .isEqualTo(new ChangeRefusal.RevisionNotKept(9));
  }

  @Test
  void aConfigurationPastTheBoundIsRefusedWithBothNumbers() throws Exception {
    Future<ChangeResult> result =
        acceptance.accept(Samples.creating("o1", Samples.configuration(10, 6_000)));

    ChangeRefusal.TooLarge refusal = (ChangeRefusal.TooLarge) refusal(result);
    assertThat(refusal.bytes()).isGreaterThan(refusal.bound());
    assertThat(refusal.bound()).isEqualTo(RootObject.BOUND_BYTES);
    assertThat(root().configuration().revision()).isEqualTo(1);
  }

  @Test
  void aTrialShowsTheDifferenceAndWritesNothing() throws Exception {
    Future<ChangeResult> result =
        acceptance.validate(Samples.putting("o1", Samples.model("lector-8b", "v2")));

    ChangeResult.DryRun trial = (ChangeResult.DryRun) result.result();
    assertThat(trial.difference().objects().get(0).fields())
        .extracting(field -> field.before() + " -> " + field.after())
        .containsExactly("v1 -> v2");
    assertThat(root().configuration().revision()).isEqualTo(1);
  }

  @Test
  void theHistoryIsBounded() {
    for (int order = 0; order < RevisionHistory.KEPT + 20; order++) {
      acceptance.accept(Samples.putting("o" + order, Samples.model("lector-8b", "v" + order)));
    }

    long kept = store.list(RevisionHistory.KIND).result().objects().size();

    assertThat(kept).isEqualTo(RevisionHistory.KEPT);
  }
}
