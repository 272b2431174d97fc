package org.marjoramsail.core.placement;

/** Division of the work between the upstreams of a grant. */
public enum GrantMode {
  /** One upstream prefills the prompt, another generates the output. */
  DISAGGREGATED(true),
  /** The generating upstream prefills the prompt itself. */
  LOCAL_PREFILL(false),
  /** A plain service responds. */
  PLAIN(false);

  private final boolean transferring;

  GrantMode(boolean transferring) {
    this.transferring = transferring;
  }

  /** Returns whether a KV cache is transferred. */
  public boolean isTransferring() {
    return transferring;
  }
}
