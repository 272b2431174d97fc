package org.marjoramsail.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.marjoramsail.core.claim.ClaimFleet.DeliveryOutcome;

final class ClaimFuzzTest {

  private static final int KEYS = 16;

  /** One step of a scenario; the meaning of its numbers depends on the kind. */
  record Step(Kind kind, int first, int second) {}

  /** Kinds of steps. */
  enum Kind {
    CLAIM {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.claim(step.first, step.second % KEYS, step.second % 7 == 0 ? 1 : 0);
      }
    },
    SETTLE {
      @Override
      void run(ClaimFleet fleet, Step step) {
        ClaimState[] finalStates = {ClaimState.COMPLETED, ClaimState.NOT_RUN, ClaimState.UNKNOWN};
        fleet.settle(step.first, finalStates[step.second % finalStates.length], step.second);
      }
    },
    DELIVER {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.deliver(step.first, DeliveryOutcome.DELIVERED);
      }
    },
    DISTURB_MESSAGE {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.deliver(
            step.first, step.second % 2 == 0 ? DeliveryOutcome.LOST : DeliveryOutcome.DUPLICATED);
      }
    },
    COMPLETE_CALL {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.completeCall(step.first, DeliveryOutcome.DELIVERED);
      }
    },
    LOSE_RESPONSE {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.completeCall(
            step.first, step.second % 2 == 0 ? DeliveryOutcome.LOST : DeliveryOutcome.DELAYED);
      }
    },
    APPLY_DELAYED_WRITE {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.applyDelayedWrite(step.first);
      }
    },
    REFUSE_CALL {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.refuseCall(step.first);
      }
    },
    ADVANCE {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.advance(step.second % 10 == 0 ? 2_000 : 5L * step.second, step.first);
      }
    },
    TICK {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.tick(step.first, step.second);
      }
    },
    JUMP_CLOCK {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.jumpClock(step.first, 3_600_000);
      }
    },
    RESTART {
      @Override
      void run(ClaimFleet fleet, Step step) {
        fleet.restart(step.first);
      }
    };

    abstract void run(ClaimFleet fleet, Step step);
  }

  /**
   * Guards against a request that runs twice because a claim was assumed to be recorded, or not to
   * be recorded, although the response of the store, a message or a daemon was lost.
   */
  @Property(seed = "20261202", tries = 2_000)
  void aKeyIsGrantedAtMostOnceUntilItExpires(@ForAll("scenarios") List<Step> steps) {
    ClaimFleet fleet = new ClaimFleet();

    steps.forEach(step -> step.kind().run(fleet, step));
    fleet.runWithoutFaults();

    assertThat(fleet.violations()).isEmpty();
    assertThat(fleet.openClaims()).as("claims without a result").isZero();
  }

  @Property(seed = "7", tries = 200)
  void aNewKeyIsGrantedAfterTheFaultsEnd(@ForAll("scenarios") List<Step> steps) {
    ClaimFleet fleet = new ClaimFleet();
    steps.forEach(step -> step.kind().run(fleet, step));
    fleet.runWithoutFaults();
    for (int wait = 0; wait < 20; wait++) {
      // The claims of the scenario expire, so that full segments accept claims again.
      fleet.runWithoutFaults();
    }
    int before = fleet.grants();

    fleet.claim(0, KEYS + 1, 0);
    fleet.runWithoutFaults();

    assertThat(fleet.grants()).isEqualTo(before + 1);
  }

  @Provide
  Arbitrary<List<Step>> scenarios() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequency(
            Tuple.of(16, Kind.CLAIM),
            Tuple.of(6, Kind.SETTLE),
            Tuple.of(30, Kind.DELIVER),
            Tuple.of(4, Kind.DISTURB_MESSAGE),
            Tuple.of(30, Kind.COMPLETE_CALL),
            Tuple.of(5, Kind.LOSE_RESPONSE),
            Tuple.of(3, Kind.APPLY_DELAYED_WRITE),
            Tuple.of(2, Kind.REFUSE_CALL),
            Tuple.of(8, Kind.ADVANCE),
            Tuple.of(12, Kind.TICK),
            Tuple.of(1, Kind.JUMP_CLOCK),
            Tuple.of(3, Kind.RESTART));
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 99);
    return Combinators.combine(kinds, numbers, numbers).as(Step::new).list().ofSize(250);
  }
}
