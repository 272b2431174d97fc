package org.marjoramsail.daemon.request;

/** A call to an upstream that is under way. */
@FunctionalInterface
public interface OpenCall {

  /** Ends the call from this side, after which nothing more is heard of it. */
  void close();
}
