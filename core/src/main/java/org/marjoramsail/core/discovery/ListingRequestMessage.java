package org.marjoramsail.core.discovery;

import java.util.Set;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Requests lists from another daemon; sent by a daemon that cannot read them or lacks a version.
 *
 * @param atMillis time of the request, on the clock of the requesting daemon
 * @param number identifies the request in its response; zero for a response in one message, as
 *     earlier versions of the software send it
 * @param sections what is requested
 */
public record ListingRequestMessage(long atMillis, long number, Set<ListingSection> sections)
    implements PeerMessage {

  /** Copies the set to make the record immutable. */
  public ListingRequestMessage {
    sections = sections == null ? Set.of() : Set.copyOf(sections);
  }
}
