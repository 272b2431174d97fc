package org.marjoramsail.standin.engine;

/** The run of a daemon that asked for an attempt. */
record Holder(String daemon, long incarnation) {

  /** Whether it is a run of {@code host} up to {@code throughIncarnation}. */
  boolean isRunOf(String host, long throughIncarnation) {
    return daemon.equals(host) && incarnation <= throughIncarnation;
  }
}
