package org.marjoramsail.standin.engine;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.standin.server.ScaledTime;

/** One engine model under a clock that the test moves. */
final class EngineBench {

  static final String MODEL = "lector";
  static final int BYTES_PER_TOKEN = 10;

  /** A step of 10 ms and 1 ms a request; a token read each millisecond in chunks of 100. */
  static final EngineTimings TIMINGS =
      new EngineTimings(
          1, 1, 10_000, 1_000, 1_000, 100, 50, 800, 1_000_000, 250, 250, 0, 0, 100, 50, 30, 20);

  final ManualClock clock = new ManualClock(1_000);
  final ScaledTime time = new ScaledTime(clock, 1);
  final EngineFaults faults = new EngineFaults();
  final AuditBook audit = new AuditBook();
  final EngineSettings settings;
  final EngineModel model;
  int poisonings;

  EngineBench(UpstreamRole role, int slots, int queueLimit, long kvCapacityTokens) {
    settings =
        new EngineSettings(
            "engine-1",
            "127.0.0.1",
            0,
            role,
            MODEL,
            "1",
            List.of(),
            slots,
            queueLimit,
            BYTES_PER_TOKEN,
            kvCapacityTokens * BYTES_PER_TOKEN,
            64,
            OrderTokenPolicy.CHECKED,
            Optional.empty(),
            TIMINGS);
    model =
        new EngineModel(
            settings, time, faults, audit, new SplittableRandom(1), 1, () -> poisonings++);
  }

  static EngineBench prefill() {
    return new EngineBench(UpstreamRole.PREFILL, 4, 8, 10_000);
  }

  static EngineBench decode() {
    return new EngineBench(UpstreamRole.DECODE, 20, 4, 100_000);
  }

  static String words(String stem, int count) {
    return IntStream.range(0, count).mapToObj(i -> stem + i).collect(Collectors.joining(" "));
  }

  static AttemptKey key(String request) {
    return new AttemptKey(request, 1);
  }

  HeldAttempt prefill(String request, String prompt, int priority, AttemptSink sink) {
    return prefill(request, prompt, priority, new Holder("entry-1", 1), sink);
  }

  HeldAttempt prefill(
      String request, String prompt, int priority, Holder holder, AttemptSink sink) {
    return HeldAttempt.prefill(key(request), holder, priority, model.read(prompt), sink);
  }

  HeldAttempt decode(
      String request, String prompt, int start, int maximum, boolean importing, AttemptSink sink) {
    Optional<KvSource> source =
        importing ? Optional.of(new KvSource("127.0.0.1", 1, "handle")) : Optional.empty();
    return HeldAttempt.decode(
        key(request),
        new Holder("entry-1", 1),
        1,
        model.read(prompt),
        source,
        start,
        TokenText.count(prompt, maximum),
        maximum,
        sink);
  }

  Optional<EngineRefusal> accept(HeldAttempt attempt) {
    return model.accept(attempt, MODEL);
  }

  void pass(long millis) {
    clock.advance(millis);
    model.advance();
  }

  EngineAudit audit() {
    return audit.read(settings.name(), settings.slots());
  }
}
