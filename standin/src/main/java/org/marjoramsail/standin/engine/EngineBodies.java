package org.marjoramsail.standin.engine;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.List;
import java.util.Optional;

/** The JSON bodies of the engine's protocol. */
final class EngineBodies {

  private EngineBodies() {}

  /** Asks for a prefill. */
  record PrefillBody(
      String request,
      int attempt,
      String daemon,
      long incarnation,
      String model,
      int priority,
      String prompt) {

    boolean isComplete() {
      return request != null && daemon != null && model != null && prompt != null;
    }
  }

  /** Asks for tokens. */
  record DecodeBody(
      String request,
      int attempt,
      String daemon,
      long incarnation,
      String model,
      int priority,
      String prompt,
      int promptTokens,
      int maximumTokens,
      int startIndex,
      Optional<KvSource> kv) {

    boolean isComplete() {
      return request != null
          && daemon != null
          && model != null
          && prompt != null
          && maximumTokens > 0
          && startIndex >= 0;
    }
  }

  /** Answers a prefill. */
  record PrefillDoneBody(
      String handle, int promptTokens, int cachedTokens, long tookMillis, long lifetimeMillis) {}

  /** One token of a stream. */
  record TokenFrame(String request, int attempt, int index, String text) {}

  /** The end of a stream. */
  record DoneFrame(
      String request,
      int attempt,
      int index,
      boolean done,
      String finishReason,
      int promptTokens,
      int cachedTokens) {}

  /** Says why not, and whether that proves that nothing ran. */
  @JsonInclude(JsonInclude.Include.NON_ABSENT)
  record RefusalBody(String reason, Optional<String> run) {

    static RefusalBody of(EngineRefusal refusal) {
      return new RefusalBody(refusal.code(), refusal.run());
    }
  }

  /** Answers the cancel of an attempt. */
  record FreedBody(boolean freed) {}

  /** Answers the cancel of all attempts of a daemon. */
  record CancelledBody(int cancelled) {}

  /** One attempt that the engine holds. */
  record HeldBody(
      String request, int attempt, String daemon, long incarnation, AttemptPhase phase) {

    static HeldBody of(HeldAttempt attempt, AttemptPhase phase) {
      return new HeldBody(
          attempt.key.request(),
          attempt.key.attempt(),
          attempt.holder.daemon(),
          attempt.holder.incarnation(),
          phase);
    }
  }

  /** All that the engine holds. */
  record HeldListBody(long incarnation, List<HeldBody> attempts) {}

  /** Events of the prefix cache. */
  record CacheEventsBody(long incarnation, long next, List<CacheEvents.Event> events) {}

  /** An order to the engine. */
  record OrderBody(
      String order,
      long token,
      String kind,
      Optional<String> model,
      Optional<String> version,
      Optional<String> adapter,
      Optional<String> role) {}

  /** Answers an order that was taken. */
  record OrderStateBody(OrderBook.State state) {}

  /** Answers a stale order. */
  record StaleBody(String reason, long newest) {}

  /** All orders since the start. */
  record OrderListBody(List<OrderBook.Entry> orders, long newestToken) {}
}
