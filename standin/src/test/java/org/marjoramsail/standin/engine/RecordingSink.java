package org.marjoramsail.standin.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Keeps what the model tells of one attempt. */
final class RecordingSink implements AttemptSink {

  final List<String> tokens = new ArrayList<>();
  final List<Integer> indexes = new ArrayList<>();
  Optional<HeldAttempt> fetching = Optional.empty();
  Optional<String> handle = Optional.empty();
  Optional<Integer> finishedAt = Optional.empty();
  Optional<EngineRefusal> refusal = Optional.empty();

  @Override
  public void fetchKv(HeldAttempt attempt, KvSource source) {
    fetching = Optional.of(attempt);
  }

  @Override
  public void promptRead(HeldAttempt attempt, String newHandle, long tookMicros) {
    handle = Optional.of(newHandle);
  }

  @Override
  public void token(int index, String text) {
    indexes.add(index);
    tokens.add(text);
  }

  @Override
  public void finished(HeldAttempt attempt, int index) {
    finishedAt = Optional.of(index);
  }

  @Override
  public void refused(EngineRefusal why) {
    refusal = Optional.of(why);
  }

  @Override
  public void flush() {}
}
