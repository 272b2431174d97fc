package org.marjoramsail.core.configuration;

import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/** What the shell of a follower has to do. */
public sealed interface FollowerAction {

  /**
   * Send a message.
   *
   * @param to the daemon that should get it
   * @param message what to send
   */
  record Send(DaemonId to, PeerMessage message) implements FollowerAction {}

  /**
   * Put a revision in force; it is newer than all before it.
   *
   * @param configuration the revision
   * @param source where it was learned
   * @param from the daemon that told it, where one did
   */
  record Apply(Configuration configuration, RevisionSource source, Optional<DaemonId> from)
      implements FollowerAction {}

  /** Watch the root from now on. */
  record OpenWatch() implements FollowerAction {}

  /** Watch the root no more. */
  record CloseWatch() implements FollowerAction {}

  /** Read the root once. */
  record ReadStore() implements FollowerAction {}
}
