package org.marjoramsail.standin.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.marjoramsail.core.model.UpstreamRole;

/** Whatever happens in whichever order, nothing stays held for which nobody waits. */
final class EngineModelPropertyTest {

  private static final int STEPS = 120;

  @Property(seed = "7301", tries = 300)
  void nothingIsHeldOnceAllAreCancelled(@ForAll long seed, @ForAll boolean generating) {
    RandomGenerator random = new SplittableRandom(seed);
    UpstreamRole role = generating ? UpstreamRole.DECODE : UpstreamRole.PREFILL;
    EngineBench bench = new EngineBench(role, 3, 3, 400);
    List<RecordingSink> sinks = new ArrayList<>();
    List<HeldAttempt> attempts = new ArrayList<>();
    for (int step = 0; step < STEPS; step++) {
      act(bench, random, sinks, attempts);
      EngineAudit audit = bench.audit();
      assertThat(audit.held()).isBetween(0, 6);
      assertThat(audit.heldKvBytes()).isBetween(0L, 400L * EngineBench.BYTES_PER_TOKEN);
      assertThat(bench.model.running()).isLessThanOrEqualTo(3);
    }

    bench.model.cancelRuns("entry-1", 1);

    assertThat(bench.audit().isHoldingNothing()).isTrue();
    assertThat(bench.model.list(holder -> true)).isEmpty();
    assertThat(sinks)
        .allSatisfy(
            sink -> {
              for (int i = 0; i < sink.indexes.size(); i++) {
                assertThat(sink.indexes.get(i)).isEqualTo(i);
              }
            });
  }

  private static void act(
      EngineBench bench,
      RandomGenerator random,
      List<RecordingSink> sinks,
      List<HeldAttempt> attempts) {
    switch (random.nextInt(6)) {
      case 0, 1 -> arrive(bench, random, sinks, attempts);
      case 2 -> bench.pass(random.nextInt(60));
      case 3 -> any(attempts, random).forEach(attempt -> bench.model.cancel(attempt.key));
      case 4 -> any(attempts, random).forEach(attempt -> endImport(bench, random, attempt));
      default -> any(sinks, random).forEach(sink -> export(bench, random, sink));
    }
  }

  private static void arrive(
      EngineBench bench,
      RandomGenerator random,
      List<RecordingSink> sinks,
      List<HeldAttempt> attempts) {
    RecordingSink sink = new RecordingSink();
    String request = "r" + random.nextInt(200);
    String prompt = EngineBench.words("w" + random.nextInt(3), 1 + random.nextInt(150));
    HeldAttempt attempt =
        bench.settings.role().isGenerating()
            ? bench.decode(request, prompt, 0, 1 + random.nextInt(30), random.nextBoolean(), sink)
            : bench.prefill(request, prompt, random.nextInt(3), sink);
    if (bench.accept(attempt).isEmpty()) {
      sinks.add(sink);
      attempts.add(attempt);
    }
  }

  private static void endImport(EngineBench bench, RandomGenerator random, HeldAttempt attempt) {
    if (attempt.phase != AttemptPhase.IMPORTING || random.nextInt(4) == 0) {
      bench.model.clientGone(attempt);
    } else if (random.nextInt(4) == 0) {
      bench.model.kvFailed(attempt, EngineRefusal.KV_EXPIRED);
    } else {
      bench.model.kvArrived(attempt, attempt.prompt.tokens(), 0);
    }
  }

  private static void export(EngineBench bench, RandomGenerator random, RecordingSink sink) {
    sink.handle
        .flatMap(handle -> bench.model.startExport(handle, sent -> {}))
        .filter(sending -> random.nextBoolean())
        .ifPresent(bench.model::stopExport);
  }

  private static <T> List<T> any(List<T> all, RandomGenerator random) {
    return all.isEmpty() ? List.of() : List.of(all.get(random.nextInt(all.size())));
  }
}
