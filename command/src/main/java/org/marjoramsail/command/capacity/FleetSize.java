package org.marjoramsail.command.capacity;

import org.marjoramsail.core.placement.ShardMap;

/**
 * A fleet whose cost is worked out.
 *
 * <p>The rates of today's deployments are not known; they are what the stand-ins' engines could
 * carry: 10,000 prompt tokens a second for each of 4 and of 2 prefill engines, prompts as long as
 * the target's, and the assumed shares of the mixes. The share of requests that may run once only
 * is the assumed one of the mix, for the target the larger one; ten changes a day are assumed.
 */
enum FleetSize {
  TARGET("target", 390, 770, 2, 5_300, 1_500_000, 2_014, 350, 2_100),
  CABILDO_ABIERTO("Cabildo Abierto", 7, 13, 1, 130, 3_100, 49, 6, 10),
  ROSARIO("Rosario", 7, 10, 1, 73, 1_550, 17.5, 4, 10);

  /** Of the target: 1,200 GB/s of KV cache over 5,300 requests/s at an assumed 128 KiB a token. */
  static final int PROMPT_TOKENS = 1_727;

  /** Bytes of a token of a prompt, as the stand-ins write them. */
  static final double PROMPT_BYTES_PER_TOKEN = 4;

  private static final double TOKEN_SECONDS = 0.026;

  private final String title;
  private final int daemons;
  private final int upstreams;
  private final int regions;
  private final double requestsPerSecond;
  private final double tokensPerSecond;
  private final double claimsPerSecond;
  private final int organisations;
  private final double changesPerDay;

  FleetSize(
      String title,
      int daemons,
      int upstreams,
      int regions,
      double requestsPerSecond,
      double tokensPerSecond,
      double claimsPerSecond,
      int organisations,
      double changesPerDay) {
    this.title = title;
    this.daemons = daemons;
    this.upstreams = upstreams;
    this.regions = regions;
    this.requestsPerSecond = requestsPerSecond;
    this.tokensPerSecond = tokensPerSecond;
    this.claimsPerSecond = claimsPerSecond;
    this.organisations = organisations;
    this.changesPerDay = changesPerDay;
  }

  String title() {
    return title;
  }

  int daemons() {
    return daemons;
  }

  int upstreams() {
    return upstreams;
  }

  int regions() {
    return regions;
  }

  double requestsPerSecond() {
    return requestsPerSecond;
  }

  double tokensPerSecond() {
    return tokensPerSecond;
  }

  double claimsPerSecond() {
    return claimsPerSecond;
  }

  int organisations() {
    return organisations;
  }

  double changesPerDay() {
    return changesPerDay;
  }

  /** Shards of all regions, as the daemons slice them; today one of engines and one of plain. */
  int shards() {
    return this == TARGET ? new ShardMap(TargetConfiguration.of(upstreams)).shards().size() : 2;
  }

  /** Requests that generate at a moment, each making a token in 26 ms. */
  double openStreams() {
    return tokensPerSecond * TOKEN_SECONDS;
  }
}
