package org.marjoramsail.core.discovery;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Lists of a daemon, in the form in which it read them.
 *
 * @param routes document of the routes; empty where the daemon has none
 * @param upstreams documents of the upstreams
 */
public record ListingResponseMessage(List<Document> routes, List<Document> upstreams)
    implements PeerMessage {

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
  }
}
