package org.marjoramsail.daemon.request;

/** A call to an upstream that is in flight. */
@FunctionalInterface
public interface OpenCall {

  /** Closes the call, which delivers no results afterwards. */
  void close();
}
