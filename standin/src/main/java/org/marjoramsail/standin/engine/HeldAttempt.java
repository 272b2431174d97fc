package org.marjoramsail.standin.engine;

import java.util.List;
import java.util.Optional;

/** One attempt that the engine has accepted, from its arrival to its end. */
final class HeldAttempt {

  /** Facts of the prompt that are worked out once. */
  record Prompt(int tokens, List<Long> prefixHashes, long seed, boolean poisonous) {}

  final AttemptKey key;
  final Holder holder;
  final int priority;
  final Prompt prompt;
  final Optional<KvSource> source;
  final int endIndex;
  final int maximumTokens;
  final boolean generating;
  final AttemptSink sink;

  AttemptPhase phase = AttemptPhase.WAITING;
  long sequence;
  long arrivedMicros;
  int nextIndex;
  int cachedTokens;
  int unreadTokens;
  int freshTokens;
  boolean used;
  boolean exportDone;
  boolean linkDone;
  Optional<Link.Transfer> transfer = Optional.empty();
  Runnable whenReleased = () -> {};

  private HeldAttempt(
      AttemptKey key,
      Holder holder,
      int priority,
      Prompt prompt,
      Optional<KvSource> source,
      boolean generating,
      int startIndex,
      int endIndex,
      int maximumTokens,
      AttemptSink sink) {
    this.key = key;
    this.holder = holder;
    this.priority = priority;
    this.prompt = prompt;
    this.source = source;
    this.generating = generating;
    this.nextIndex = startIndex;
    this.endIndex = endIndex;
    this.maximumTokens = maximumTokens;
    this.sink = sink;
  }

  /** An attempt that reads a prompt for another engine. */
  static HeldAttempt prefill(
      AttemptKey key, Holder holder, int priority, Prompt prompt, AttemptSink sink) {
    return new HeldAttempt(key, holder, priority, prompt, Optional.empty(), false, 0, 0, 0, sink);
  }

  /** An attempt that generates the tokens from {@code startIndex} up to {@code endIndex}. */
  static HeldAttempt decode(
      AttemptKey key,
      Holder holder,
      int priority,
      Prompt prompt,
      Optional<KvSource> source,
      int startIndex,
      int endIndex,
      int maximumTokens,
      AttemptSink sink) {
    return new HeldAttempt(
        key, holder, priority, prompt, source, true, startIndex, endIndex, maximumTokens, sink);
  }

  /** Tokens whose KV cache it needs: the prompt and all that it may generate. */
  int kvTokens() {
    return prompt.tokens() + endIndex;
  }

  boolean isEnded() {
    return phase == AttemptPhase.ENDED;
  }

  /** Whether it stopped because its maximum was reached rather than by its own end. */
  boolean isCutByLength() {
    return endIndex >= maximumTokens;
  }

  /** Prompt tokens computed here or fetched from elsewhere, that no generated token has used. */
  int unusedTokens() {
    return used ? 0 : freshTokens;
  }
}
