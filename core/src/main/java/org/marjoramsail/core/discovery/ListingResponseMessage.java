package org.marjoramsail.core.discovery;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * The lists as a daemon knows them, in the form in which it read them.
 *
 * @param routes the document of the routes; empty where it has none
 * @param upstreams the documents of the upstreams
 */
public record ListingResponseMessage(List<Document> routes, List<Document> upstreams)
    implements PeerMessage {

  /**
   * One document.
   *
   * @param name its name in the list
   * @param revision the state of the store at its last change
   * @param content its content, as text
   */
  public record Document(String name, StoreRevision revision, String content) {}

  /** Copies the lists, so that the value cannot change. */
  public ListingResponseMessage {
    routes = List.copyOf(routes);
    upstreams = List.copyOf(upstreams);
  }
}
