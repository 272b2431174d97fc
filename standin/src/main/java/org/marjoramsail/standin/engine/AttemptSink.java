package org.marjoramsail.standin.engine;

/** Where the model tells the progress of one attempt; the HTTP side writes it to the client. */
interface AttemptSink {

  /** The slot is held and the KV cache is to be fetched. */
  void fetchKv(HeldAttempt attempt, KvSource source);

  /** A prefill is done and its KV cache can be fetched until its lifetime ends. */
  void promptRead(HeldAttempt attempt, String handle, long tookMicros);

  /** A token was made. */
  void token(int index, String text);

  /** All tokens were made; {@code index} is their number. */
  void finished(HeldAttempt attempt, int index);

  /** The attempt ended without its result. */
  void refused(EngineRefusal refusal);

  /** Sends what was told since the last time. */
  void flush();
}
