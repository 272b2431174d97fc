package org.marjoramsail.core.placement;

/**
 * Initial estimates and limits of a placer.
 *
 * @param prefillTokensPerMilli initial estimate of the rate of a prefill upstream, in tokens a
 *     millisecond
 * @param prefillOverheadMillis initial estimate of the fixed time of a prefill
 * @param linkBytesPerMilli initial estimate of the rate of the link of one upstream, in bytes a
 *     millisecond
 * @param otherZoneMillis time added to a transfer that leaves its availability zone
 * @param decodeMillisPerToken initial estimate of the time between two output tokens
 * @param prefillAheadMillis how much prefill work may queue on a prefill upstream
 * @param kvLifetimeMillis how long a KV cache is kept after its prefill
 * @param localPrefillMillis a prompt that a decode upstream can prefill within this time is not
 *     disaggregated
 * @param localPrefillWhenBusy whether decode upstreams prefill prompts while all prefill upstreams
 *     are busy
 * @param localPrefillSlowdown initial estimate of how many times longer a prefill takes on a decode
 *     upstream
 * @param quickHeadroom share of the slots that is reserved for quick requests while there are any
 * @param maximumWaiting the maximum number of waiting attempts in a shard
 * @param ageingMillis how long a standard attempt waits before it has the priority of a quick one
 * @param promotionSlackMillis a deferrable attempt with less slack has the priority of a standard
 *     one
 * @param settlingMillis how long a new owner grants only slots that load reports show to be free
 * @param reportLagMillis how much older than its stated age a load report may be
 * @param ejectionMillis duration of the first ejection of an upstream; it doubles with each further
 *     one
 * @param slowStartMillis how long a recovered upstream takes to get its full share
 * @param shardUpstreams the maximum number of upstreams in a shard; it must be equal in all
 *     daemons, else they disagree on the shards
 */
public record PlacementSettings(
    double prefillTokensPerMilli,
    double prefillOverheadMillis,
    double linkBytesPerMilli,
    double otherZoneMillis,
    double decodeMillisPerToken,
    long prefillAheadMillis,
    long kvLifetimeMillis,
    long localPrefillMillis,
    boolean localPrefillWhenBusy,
    double localPrefillSlowdown,
    double quickHeadroom,
    int maximumWaiting,
    long ageingMillis,
    long promotionSlackMillis,
    long settlingMillis,
    long reportLagMillis,
    long ejectionMillis,
    long slowStartMillis,
    int shardUpstreams) {

  /** Returns settings for engines of about twenty slots. */
  public static PlacementSettings defaults() {
    return new PlacementSettings(
        8,
        5,
        1_250_000,
        2,
        20,
        100,
        800,
        30,
        false,
        1,
        0.05,
        10_000,
        2_000,
        5_000,
        500,
        1_000,
        1_000,
        10_000,
        ShardMap.MAXIMUM_UPSTREAMS);
  }

  /**
   * Returns settings for engines that keep a KV cache for half a second, and for plain services
   * that respond within some tens of milliseconds. A prompt goes to a prefill upstream whenever one
   * is not busy, since a local prefill slows all streams of a decode upstream. A new owner settles
   * only for as long as entry daemons take to register again.
   */
  public static PlacementSettings forShortLivedCaches() {
    return new PlacementSettings(
        30,
        30,
        17_500_000,
        5,
        4.5,
        120,
        450,
        1,
        true,
        2,
        0,
        2_000,
        2_000,
        5_000,
        250,
        1_000,
        1_000,
        1_500,
        ShardMap.MAXIMUM_UPSTREAMS);
  }

  /** Returns the same settings with another limit of waiting attempts. */
  public PlacementSettings withMaximumWaiting(int attempts) {
    return copy(attempts, shardUpstreams);
  }

  /** Returns the same settings with another maximum number of upstreams in a shard. */
  public PlacementSettings withShardUpstreams(int upstreams) {
    return copy(maximumWaiting, upstreams);
  }

  private PlacementSettings copy(int newMaximumWaiting, int newShardUpstreams) {
    return new PlacementSettings(
        prefillTokensPerMilli,
        prefillOverheadMillis,
        linkBytesPerMilli,
        otherZoneMillis,
        decodeMillisPerToken,
        prefillAheadMillis,
        kvLifetimeMillis,
        localPrefillMillis,
        localPrefillWhenBusy,
        localPrefillSlowdown,
        quickHeadroom,
        newMaximumWaiting,
        ageingMillis,
        promotionSlackMillis,
        settlingMillis,
        reportLagMillis,
        ejectionMillis,
        slowStartMillis,
        newShardUpstreams);
  }
}
