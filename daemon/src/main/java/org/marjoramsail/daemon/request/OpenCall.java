package org.marjoramsail.daemon.request;

/** A call to an upstream that is in flight. */
@FunctionalInterface
public interface OpenCall {

  /** Closes the call, which delivers no results afterwards. */
  void close();

  /** Returns whether the request was not written to a connection, so that it cannot have run. */
  default boolean isUnsent() {
    return false;
  }
}
