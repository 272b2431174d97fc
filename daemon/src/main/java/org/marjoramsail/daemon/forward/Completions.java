package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.outcome.RequestProfile;

/** Hears of streams that came to their end, to foretell how long others will be. */
@FunctionalInterface
public interface Completions {

  /**
   * A stream came to its end.
   *
   * @param profile the request
   * @param mostTokens how many tokens it might have generated
   * @param events how many events it had
   */
  void completed(RequestProfile profile, int mostTokens, int events);
}
