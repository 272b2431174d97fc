package org.marjoramsail.core.claim;

import java.util.Optional;

/** What a {@link ClaimBatcher} wants done; each read and write is answered by exactly one event. */
public sealed interface ClaimAction {

  /**
   * Read a page.
   *
   * @param read names the read
   * @param slot which
   */
  record ReadPage(long read, int slot) implements ClaimAction {}

  /**
   * Write a page.
   *
   * @param slot which
   * @param expectedVersion the version to replace; to be created where absent
   * @param page what to write
   */
  record WritePage(int slot, Optional<String> expectedVersion, ClaimPage page)
      implements ClaimAction {}

  /**
   * Tell a claimant.
   *
   * @param claim its claim
   * @param result what came of it
   */
  record DeliverResult(ClaimId claim, ClaimResult result) implements ClaimAction {}
}
