package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.outcome.RequestProfile;

/** Hears of streams that came to their end, to foretell how long others will be. */
@FunctionalInterface
public interface CompletionListener {

  /**
   * A stream came to its end.
   *
   * @param profile the request
   * @param maximumTokens how many tokens it might have generated
   * @param eventCount how many events it had
   */
  void completed(RequestProfile profile, int maximumTokens, int eventCount);
}
