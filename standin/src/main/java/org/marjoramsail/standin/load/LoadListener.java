package org.marjoramsail.standin.load;

/** Hears of the ends of requests while a run goes on. */
@FunctionalInterface
public interface LoadListener {

  /** A request has ended; called on any thread and must not block. */
  void ended(RequestOutcome outcome);
}
