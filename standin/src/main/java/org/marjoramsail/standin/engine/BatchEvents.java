package org.marjoramsail.standin.engine;

/** What a batch tells while it steps. */
interface BatchEvents {

  /** The attempt has its slot and its memory. */
  void began(HeldAttempt attempt, long nowMicros);

  /** Some tokens of the attempt's prompt were read. */
  void chunkRead(HeldAttempt attempt, int tokens);

  /** The whole prompt was read. */
  void promptRead(HeldAttempt attempt, long nowMicros);

  /** The token at the attempt's next index was made. */
  void generated(HeldAttempt attempt);
}
