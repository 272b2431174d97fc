package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * Changes of the prefix cache of an engine; they arrive late and may have gaps.
 *
 * @param incarnation incarnation of the engine
 * @param next sequence number after which to poll next
 * @param events the changes in the order of their sequence numbers
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record CacheEventList(long incarnation, long next, List<CacheEvent> events) {

  /** Copies the list, so that the value cannot change. */
  public CacheEventList {
    events = events == null ? List.of() : List.copyOf(events);
  }

  /**
   * One change of a prefix cache.
   *
   * @param sequence increases by one with each event, which makes gaps detectable
   * @param kind one of stored, removed or cleared
   * @param hash the block's chained hash; undefined for the kind cleared
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record CacheEvent(long sequence, String kind, long hash) {}
}
