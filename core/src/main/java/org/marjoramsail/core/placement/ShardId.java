package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Identifier of a shard: a slice of the upstreams of one service in one region, with one queue and
 * one owner.
 *
 * @param service the service
 * @param region the region of its upstreams
 * @param slice the index of the slice, from zero; the configuration determines the number of slices
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
