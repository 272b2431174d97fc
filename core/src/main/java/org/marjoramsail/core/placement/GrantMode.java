package org.marjoramsail.core.placement;

/** How the upstreams of a grant share the work. */
public enum GrantMode {
  /** One upstream reads the prompt, another generates. */
  DISAGGREGATED(true),
  /** The generating upstream reads the prompt itself. */
  LOCAL_PREFILL(false),
  /** A plain service answers. */
  PLAIN(false);

  private final boolean transferring;

  GrantMode(boolean transferring) {
    this.transferring = transferring;
  }

  /** Whether a KV cache crosses a link. */
  public boolean isTransferring() {
    return transferring;
  }
}
