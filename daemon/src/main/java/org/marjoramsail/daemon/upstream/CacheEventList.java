package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * What the prefix cache of an engine took in and dropped; late and with gaps.
 *
 * @param incarnation the run of the engine
 * @param next the sequence number to ask after
 * @param events in the order of their sequence numbers
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
   * @param sequence rises by one with each event, so that a gap shows
   * @param kind stored, removed or cleared
   * @param hash the block's chained hash; meaningless when everything was cleared
   */
  @JsonIgnoreProperties(ignoreUnknown = true)
  public record CacheEvent(long sequence, String kind, long hash) {}
}
