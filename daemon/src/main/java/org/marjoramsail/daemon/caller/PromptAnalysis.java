package org.marjoramsail.daemon.caller;

import java.util.List;

/** Tells what placement has to know of a prompt. */
@FunctionalInterface
public interface PromptAnalysis {

  /** Analyses a prompt. */
  PromptFacts analyse(String prompt);

  /**
   * What placement has to know.
   *
   * @param tokens length of the prompt
   * @param prefixHashes chained hashes of its blocks
   */
  record PromptFacts(int tokens, List<Long> prefixHashes) {

    /** Copies the list, so that the value cannot change. */
    public PromptFacts {
      prefixHashes = List.copyOf(prefixHashes);
    }
  }
}
