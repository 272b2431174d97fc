package org.marjoramsail.daemon.main;

/**
 * What a daemon still has to do for others.
 *
 * @param requests requests of callers that have not ended
 * @param connections connections of callers with a response that is not yet complete
 * @param relayedCalls calls of other daemons that are relayed
 * @param shards the shards that it owns
 */
public record UnfinishedWork(int requests, int connections, int relayedCalls, int shards) {

  /** Returns whether an end of the process would cut off a request, a response or a call. */
  public boolean isLossless() {
    return requests == 0 && connections == 0 && relayedCalls == 0;
  }
}
