package org.marjoramsail.core.placement;

/** Phase of an attempt, which the entry daemon reports to the owner. */
public enum AttemptPhase {
  /** The prompt is being prefilled. */
  PREFILLING,
  /** The KV cache exists on the prefill upstream, whose slot is released. */
  PREFILLED,
  /** The first token has arrived. */
  GENERATING,
  /** The attempt has ended and holds nothing. */
  ENDED
}
