package org.marjoramsail.core.placement;

/**
 * Where the estimates of a placer start, and its bounds.
 *
 * @param prefillTokensPerMilli first guess of how fast a prefill upstream reads, tokens a
 *     millisecond
 * @param prefillOverheadMillis first guess of the fixed time of a prefill
 * @param linkBytesPerMilli rate of the link of one upstream, bytes a millisecond
 * @param otherZoneMillis added to a transfer that leaves its availability zone
 * @param decodeMillisPerToken first guess of the time between two tokens
 * @param prefillAheadMillis how much unread work a prefill upstream is given ahead of need
 * @param kvLifetimeMillis how long a KV cache lives after its prefill
 * @param localPrefillMillis a prompt that a decode upstream reads within this is not disaggregated
 * @param localPrefillWhenBusy whether decode upstreams read prompts while all prefill upstreams are
 *     busy
 * @param localPrefillSlowdown first guess of how many times longer a decode upstream takes to read a
 *     prompt
 * @param quickHeadroom share of the slots that only quick requests may take while there are any
 * @param maximumWaiting how many attempts wait in a shard at most
 * @param ageingMillis how long a standard attempt waits before it is served like a quick one
 * @param promotionSlackMillis a deferrable attempt with less slack is served like a standard one
 * @param settlingMillis how long a new owner grants only what load reports show to be free
 * @param reportLagMillis how much older than its stated age a load report may be
 * @param ejectionMillis how long an upstream is ejected for the first time; doubles each time
 * @param slowStartMillis how long a returned upstream takes to get its full share
 * @param shardUpstreams the most upstreams of a shard; the same in all daemons, else they do not
 *     agree on what a shard is
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

  /** Values that suit engines of about twenty slots; the estimates correct themselves. */
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
   * Values for engines whose KV caches live for half a second, before plain services that answer
   * within some tens of milliseconds. The rates are those that such engines state; the estimates
   * correct themselves. A prompt is read by a prefill upstream whenever there is one that is not
   * busy, since reading it beside running answers slows all of them. An owner settles no longer
   * than entries take to register again after a change.
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

  /** The same values with another bound of the queue, in attempts. */
  public PlacementSettings withMaximumWaiting(int attempts) {
    return copy(attempts, shardUpstreams);
  }

  /** The same values with another bound of a shard, in upstreams. */
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
