package org.marjoramsail.core.placement;

/** How far an attempt has come; entry daemons tell the owner. */
public enum AttemptPhase {
  /** The prompt is being read. */
  PREFILLING,
  /** The KV cache exists on the prefill upstream, which is free again. */
  PREFILLED,
  /** The first token has arrived. */
  GENERATING,
  /** The attempt has ended and holds nothing. */
  ENDED
}
