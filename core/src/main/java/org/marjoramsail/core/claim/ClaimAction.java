package org.marjoramsail.core.claim;

import java.util.Optional;

/**
 * An action that a {@link ClaimBatcher} requests; the caller reports the result of each read and
 * write to it exactly once.
 */
public sealed interface ClaimAction {

  /**
   * Reads a page.
   *
   * @param read identifier of the read
   * @param slot slot of the page
   */
  record ReadPage(long read, int slot) implements ClaimAction {}

  /**
   * Writes a page by a conditional update.
   *
   * @param slot slot of the page
   * @param expectedVersion version to replace; if absent, the page is created
   * @param page content to write
   */
  record WritePage(int slot, Optional<String> expectedVersion, ClaimPage page)
      implements ClaimAction {}

  /**
   * Sends the result of a claim to the daemon that made the claim.
   *
   * @param claim the claim
   * @param result its result
   */
  record DeliverResult(ClaimId claim, ClaimResult result) implements ClaimAction {}
}
