package org.marjoramsail.core.discovery;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Lists of a daemon, in the form in which it read them: in whole, or a piece of them.
 *
 * @param routes document of the routes; empty where the daemon has none
 * @param upstreams documents of the upstreams
 * @param part piece of the response to a numbered request; the documents are empty then
 */
public record ListingResponseMessage(
    List<Document> routes, List<Document> upstreams, Optional<ListingPart> part)
    implements PeerMessage {

  /** Returns a piece of the response to a numbered request. */
  public static ListingResponseMessage ofPart(ListingPart part) {
    return new ListingResponseMessage(List.of(), List.of(), Optional.of(part));
  }

  /**
   * One document.
   *
   * @param name name in the list
   * @param revision state of the store at its last change
   * @param content content, as text
   */
  public record Document(String name, StoreRevision revision, String content) {}

  /** Copies the lists, so that the record is immutable. */
  public ListingResponseMessage {
    routes = List.copyOf(routes);
    upstreams = List.copyOf(upstreams);
    part = part == null ? Optional.empty() : part;
  }
}
