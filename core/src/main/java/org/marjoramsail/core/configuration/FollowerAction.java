package org.marjoramsail.core.configuration;

import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/** Action that the I/O layer of a {@link ConfigurationFollower} has to perform. */
public sealed interface FollowerAction {

  /**
   * Send a message.
   *
   * @param to the receiving daemon
   * @param message the message to send
   */
  record Send(DaemonId to, PeerMessage message) implements FollowerAction {}

  /**
   * Put a revision in force; it is newer than all previous ones.
   *
   * @param configuration the revision
   * @param source the source of the revision
   * @param from the daemon that sent it, if it came from one
   */
  record Apply(Configuration configuration, RevisionSource source, Optional<DaemonId> from)
      implements FollowerAction {}

  /** Start to watch the root. */
  record OpenWatch() implements FollowerAction {}

  /** Stop watching the root. */
  record CloseWatch() implements FollowerAction {}

  /** Read the root once. */
  record ReadStore() implements FollowerAction {}
}
