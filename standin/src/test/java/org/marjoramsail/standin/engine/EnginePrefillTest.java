package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamRole;

final class EnginePrefillTest {

  private static final int QUICK = 0;
  private static final int DEFERRABLE = 2;

  private final EngineBench bench = EngineBench.prefill();

  private RecordingSink start(String request, String prompt, int priority) {
    RecordingSink sink = new RecordingSink();
    assertThat(bench.accept(bench.prefill(request, prompt, priority, sink))).isEmpty();
    return sink;
  }

  @Test
  void aPromptTakesItsTokensAtTheRate() {
    RecordingSink sink = start("r1", EngineBench.words("x", 150), QUICK);

    bench.pass(149);
    assertThat(sink.handle).isEmpty();
    bench.pass(1);
    assertThat(sink.handle).isPresent();
  }

  @Test
  void aMoreUrgentPromptGoesFirstFromTheNextChunkOn() {
    RecordingSink patient = start("r1", EngineBench.words("a", 300), DEFERRABLE);
    bench.pass(10);
    RecordingSink urgent = start("r2", EngineBench.words("b", 50), QUICK);

    bench.pass(140);
    assertThat(urgent.handle).isPresent();
    assertThat(patient.handle).isEmpty();
    bench.pass(200);
    assertThat(patient.handle).isPresent();
  }

  @Test
  void blocksOfACachedPrefixAreNotReadAgain() {
    String shared = EngineBench.words("x", 160);
    start("r1", shared, QUICK);
    bench.pass(160);
    RecordingSink second = start("r2", shared + " " + EngineBench.words("y", 20), QUICK);

    bench.pass(20);

    assertThat(second.handle).isPresent();
    assertThat(bench.audit().prefillTokens()).isEqualTo(180);
    assertThat(bench.audit().cachedTokens()).isEqualTo(160);
  }

  @Test
  void aCacheThatNobodyFetchesExpiresAndCountsAsWaste() {
    RecordingSink sink = start("r1", EngineBench.words("x", 100), QUICK);
    bench.pass(100);
    assertThat(bench.audit().heldKvBytes()).isEqualTo(100L * EngineBench.BYTES_PER_TOKEN);

    bench.pass(800);

    assertThat(bench.audit().isHoldingNothing()).isTrue();
    assertThat(bench.audit().wastedTokens()).containsEntry(WasteReason.KV_EXPIRED, 100L);
    assertThat(bench.model.startExport(sink.handle.orElseThrow(), sent -> {})).isEmpty();
  }

  @Test
  void aTransferUnderWayKeepsTheCacheBeyondItsLifetime() {
    RecordingSink sink = start("r1", EngineBench.words("x", 100), QUICK);
    bench.pass(100);
    bench.pass(799);
    boolean[] sent = new boolean[1];
    assertThat(
            bench.model.startExport(
                sink.handle.orElseThrow(), attempt -> sent[0] = attempt.isPresent()))
        .isPresent();

    bench.pass(1);

    assertThat(sent[0]).isTrue();
    assertThat(bench.audit().isHoldingNothing()).isTrue();
    assertThat(bench.audit().wastedTokensInAll()).isZero();
  }

  @Test
  void aTransferThatBreaksOffLeavesTheCacheForAnotherTry() {
    RecordingSink sink = start("r1", EngineBench.words("x", 100), QUICK);
    bench.pass(100);
    String handle = sink.handle.orElseThrow();
    bench.model.stopExport(bench.model.startExport(handle, sent -> {}).orElseThrow());

    assertThat(bench.model.startExport(handle, sent -> {})).isPresent();
    bench.pass(5);
    assertThat(bench.audit().isHoldingNothing()).isTrue();
  }

  @Test
  void aCancelThatOvertakesItsRequestRefusesIt() {
    assertThat(bench.model.cancel(EngineBench.key("r1"))).isFalse();

    Optional<EngineRefusal> refusal =
        bench.accept(bench.prefill("r1", "a b c", QUICK, new RecordingSink()));
    assertThat(refusal).contains(EngineRefusal.CANCELLED);
  }

  @Test
  void allAttemptsOfADeadDaemonAreFreedAndItsNextRunIsServed() {
    // A daemon dies; a survivor cancels its attempts; one more request of the dead run, sent before
    // the death, arrives only now. It must hold nothing. The daemon's next run works as usual.
    RecordingSink waiting = new RecordingSink();
    Holder dead = new Holder("entry-2", 3);
    bench.accept(bench.prefill("r1", EngineBench.words("x", 10), QUICK, dead, waiting));
    bench.pass(10);
    bench.accept(bench.prefill("r2", EngineBench.words("y", 90), QUICK, dead, waiting));
    start("r3", EngineBench.words("z", 90), QUICK);

    assertThat(bench.model.cancelRuns("entry-2", 3)).isEqualTo(2);

    assertThat(bench.model.list(holder -> true))
        .extracting(EngineBodies.HeldBody::request)
        .containsExactly("r3");
    assertThat(bench.accept(bench.prefill("r4", "a b", QUICK, dead, new RecordingSink())))
        .contains(EngineRefusal.CANCELLED);
    Holder next = new Holder("entry-2", 4);
    assertThat(bench.accept(bench.prefill("r5", "a b", QUICK, next, new RecordingSink())))
        .isEmpty();
  }

  @Test
  void theSameAttemptTwiceIsRefusedWhileHeldAndCountedWhenRunAgain() {
    start("r1", EngineBench.words("x", 10), QUICK);
    assertThat(bench.accept(bench.prefill("r1", "a", QUICK, new RecordingSink())))
        .contains(EngineRefusal.DUPLICATE_ATTEMPT);
    bench.pass(10);
    start("r1", EngineBench.words("x", 10), QUICK);

    assertThat(bench.audit().duplicates()).isEqualTo(2);
    assertThat(bench.audit().runs()).containsEntry(EngineBench.key("r1"), 2);
  }

  @Test
  void aCrashForgetsAllAndCountsTheWorkAsWaste() {
    start("r1", EngineBench.words("x", 100), QUICK);
    start("r2", EngineBench.words("y", 300), QUICK);
    bench.pass(200);

    bench.model.crash();

    assertThat(bench.audit().isHoldingNothing()).isTrue();
    assertThat(bench.audit().wastedTokens()).containsEntry(WasteReason.CRASHED, 200L);
  }

  @Test
  void aPoisonousPromptAsksForACrashOnceAndStopsTheBatch() {
    bench.faults.crashOn(Optional.of("veneno"));
    RecordingSink innocent = start("r1", EngineBench.words("x", 150), DEFERRABLE);
    start("r2", "un veneno", QUICK);

    bench.pass(1_000);

    assertThat(bench.poisonings).isEqualTo(1);
    assertThat(innocent.handle).isEmpty();
  }

  @Test
  void theRoleAndTheModelDecideWhatIsTaken() {
    assertThat(bench.accept(bench.decode("r1", "a", 0, 5, false, new RecordingSink())))
        .contains(EngineRefusal.WRONG_ROLE);
    HeldAttempt other = bench.prefill("r2", "a", QUICK, new RecordingSink());
    assertThat(bench.model.accept(other, "another")).contains(EngineRefusal.UNKNOWN_MODEL);
    bench.model.identity().change(UpstreamRole.DECODE);
    assertThat(bench.accept(bench.decode("r3", "a", 0, 5, false, new RecordingSink()))).isEmpty();
  }

  @Test
  void aLeavingEngineFinishesWhatItHolds() {
    RecordingSink held = start("r1", EngineBench.words("x", 10), QUICK);
    bench.model.identity().leave(true);

    assertThat(bench.accept(bench.prefill("r2", "a", QUICK, new RecordingSink())))
        .contains(EngineRefusal.LEAVING);
    bench.pass(10);
    assertThat(held.handle).isPresent();
  }
}
