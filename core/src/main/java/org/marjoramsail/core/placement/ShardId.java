package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A slice of the upstreams of one service in one region, with one queue and one owner.
 *
 * @param service the service
 * @param region the region of its upstreams
 * @param slice from zero; how many slices there are follows from the configuration
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record ShardId(String service, String region, int slice) implements Comparable<ShardId> {

  @Override
  public int compareTo(ShardId other) {
    int byService = service.compareTo(other.service);
    if (byService != 0) {
      return byService;
    }
    int byRegion = region.compareTo(other.region);
    return byRegion != 0 ? byRegion : Integer.compare(slice, other.slice);
  }

  @Override
  public String toString() {
    return service + "/" + region + "/" + slice;
  }
}
