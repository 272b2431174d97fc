package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamRole;

final class EngineDecodeTest {

  private static final String PROMPT = EngineBench.words("x", 40);
  private static final int STEP_WITH_ONE_MILLIS = 11;

  private final EngineBench bench = EngineBench.decode();

  private RecordingSink startImported(String request, int start, int maximum) {
    RecordingSink sink = new RecordingSink();
    assertThat(bench.accept(bench.decode(request, PROMPT, start, maximum, true, sink))).isEmpty();
    return sink;
  }

  private RecordingSink decoding(String request, int start, int maximum) {
    RecordingSink sink = startImported(request, start, maximum);
    bench.pass(1);
    bench.model.kvArrived(sink.fetching.orElseThrow(), 40, 0);
    return sink;
  }

  @Test
  void aStepMakesOneTokenOfEachRunningRequest() {
    RecordingSink sink = decoding("r1", 0, 100);

    bench.pass(STEP_WITH_ONE_MILLIS * 3);

    assertThat(sink.indexes).containsExactly(0, 1, 2);
    assertThat(sink.tokens.get(2)).isEqualTo(TokenText.of(PROMPT, 2));
  }

  @Test
  void moreRunningRequestsMakeAStepLonger() {
    RecordingSink alone = decoding("r0", 0, 100);
    bench.pass(STEP_WITH_ONE_MILLIS);
    List<RecordingSink> more = new ArrayList<>();
    for (int i = 1; i < 10; i++) {
      more.add(decoding("r" + i, 0, 100));
    }

    bench.pass(STEP_WITH_ONE_MILLIS + 20);

    assertThat(alone.indexes).hasSize(3);
    assertThat(more).allSatisfy(sink -> assertThat(sink.indexes).hasSize(1));
  }

  @Test
  void oneLongLookGivesTheSameAsManyShortOnes() {
    RecordingSink leapt = decoding("r1", 0, 8);
    bench.pass(1_000);
    EngineBench other = EngineBench.decode();
    RecordingSink crept = new RecordingSink();
    other.accept(other.decode("r1", PROMPT, 0, 8, false, crept));
    for (int i = 0; i < 1_000; i++) {
      other.pass(1);
    }

    assertThat(leapt.tokens).isEqualTo(crept.tokens).hasSize(8);
    assertThat(leapt.finishedAt).isEqualTo(crept.finishedAt).contains(8);
  }

  @Test
  void aResumedCompletionMakesOnlyTheMissingTokens() {
    RecordingSink sink = decoding("r1", 5, 8);

    bench.pass(1_000);

    assertThat(sink.indexes).containsExactly(5, 6, 7);
    assertThat(sink.finishedAt).contains(8);
  }

  @Test
  void aCompletionThatIsAlreadyWholeOnlyEnds() {
    RecordingSink sink = decoding("r1", 8, 8);

    bench.pass(1_000);

    assertThat(sink.indexes).isEmpty();
    assertThat(sink.finishedAt).contains(8);
  }

  @Test
  void theImportTakesTheLinkTimeEvenWhenTheOtherEngineIsFaster() {
    RecordingSink sink = new RecordingSink();
    String longPrompt = EngineBench.words("x", 5_000);
    bench.accept(bench.decode("r1", longPrompt, 0, 100, true, sink));
    bench.model.kvArrived(sink.fetching.orElseThrow(), 5_000, 0);

    bench.pass(49);
    assertThat(bench.model.list(holder -> true))
        .extracting(EngineBodies.HeldBody::phase)
        .containsExactly(AttemptPhase.IMPORTING);
    bench.pass(1);
    assertThat(bench.model.list(holder -> true))
        .extracting(EngineBodies.HeldBody::phase)
        .containsExactly(AttemptPhase.DECODING);
  }

  @Test
  void aRequestAboveTheSlotsWaitsAndIsCountedAsOverCommitment() {
    for (int i = 0; i < 20; i++) {
      startImported("r" + i, 0, 100);
    }
    assertThat(bench.audit().overCommitments()).isZero();

    RecordingSink waiting = startImported("r20", 0, 100);
    assertThat(waiting.fetching).isEmpty();
    assertThat(bench.audit().overCommitments()).isEqualTo(1);
    assertThat(bench.audit().mostHeld()).isEqualTo(21);

    assertThat(bench.model.cancel(EngineBench.key("r3"))).isTrue();
    assertThat(waiting.fetching).isPresent();
  }

  @Test
  void aFullQueueRefusesWhatItDidNotRun() {
    for (int i = 0; i < 24; i++) {
      startImported("r" + i, 0, 100);
    }
    RecordingSink sink = new RecordingSink();
    Optional<EngineRefusal> refusal = bench.accept(bench.decode("r24", PROMPT, 0, 100, true, sink));

    assertThat(refusal).contains(EngineRefusal.FULL);
    assertThat(EngineRefusal.FULL.run()).contains("not-run");
    assertThat(bench.audit().runs()).doesNotContainKey(EngineBench.key("r24"));
  }

  @Test
  void aRequestWithoutMemoryWaitsUntilAnotherEnds() {
    EngineBench small = new EngineBench(UpstreamRole.DECODE, 20, 4, 100);
    RecordingSink first = new RecordingSink();
    RecordingSink second = new RecordingSink();
    small.accept(small.decode("r1", PROMPT, 0, 20, true, first));
    small.accept(small.decode("r2", PROMPT, 0, 20, true, second));

    assertThat(first.fetching).isPresent();
    assertThat(second.fetching).isEmpty();
    small.model.clientGone(first.fetching.orElseThrow());
    assertThat(second.fetching).isPresent();
    assertThat(small.audit().mostKvBytes()).isLessThanOrEqualTo(100 * EngineBench.BYTES_PER_TOKEN);
  }

  @Test
  void aPromptThatNeverFitsIsRefused() {
    EngineBench small = new EngineBench(UpstreamRole.DECODE, 20, 4, 30);

    assertThat(small.accept(small.decode("r1", PROMPT, 0, 20, true, new RecordingSink())))
        .contains(EngineRefusal.PROMPT_TOO_LONG);
  }

  @Test
  void anImportedCacheThatMadeNoTokenCountsAsWaste() {
    RecordingSink sink = decoding("r1", 0, 100);

    bench.model.clientGone(sink.fetching.orElseThrow());

    assertThat(bench.audit().wastedTokens()).containsEntry(WasteReason.CLIENT_GONE, 40L);
    assertThat(bench.audit().isHoldingNothing()).isTrue();
  }

  @Test
  void aCacheThatMadeItsFirstTokenIsNotWaste() {
    RecordingSink sink = decoding("r1", 0, 100);
    bench.pass(STEP_WITH_ONE_MILLIS);

    bench.model.clientGone(sink.fetching.orElseThrow());

    assertThat(bench.audit().wastedTokensInAll()).isZero();
  }

  @Test
  void aLostTransferEndsTheAttemptAsNotRun() {
    RecordingSink sink = startImported("r1", 0, 100);

    bench.model.kvFailed(sink.fetching.orElseThrow(), EngineRefusal.TRANSFER_FAILED);

    assertThat(sink.refusal).contains(EngineRefusal.TRANSFER_FAILED);
    assertThat(bench.audit().isHoldingNothing()).isTrue();
  }

  @Test
  void aSlowEngineTakesSoManyTimesAsLong() {
    bench.faults.slowDown(3);
    RecordingSink sink = decoding("r1", 0, 100);

    bench.pass(STEP_WITH_ONE_MILLIS * 3 - 1);
    assertThat(sink.indexes).isEmpty();
    bench.pass(1);
    assertThat(sink.indexes).hasSize(1);
  }
}
