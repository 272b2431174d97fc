package org.marjoramsail.command.capacity;

import java.util.Optional;

/**
 * What each role costs one daemon of a fleet, worked out from measured slopes.
 *
 * <p>A request costs a Place, a Granted and three Reports; an entry repeats what it holds to each
 * owner once a second and is answered.
 */
final class RoleCosts {

  /** Segments of claims, each written by one daemon. */
  static final int SEGMENTS = 8;

  private static final int REPORTS = 3;
  private static final int BLOCK_TOKENS = 16;
  private static final int SHARD_UPSTREAMS = 24;
  private static final int WAITING = 100;
  private static final double MICROS_PER_PERCENT = 10_000;
  private static final double BYTES_PER_KILOBYTE = 1_000;
  private static final double USAGE_SECONDS = 2;

  private final Measurements measured;
  private final FleetSize fleet;

  RoleCosts(Measurements measured, FleetSize fleet) {
    this.measured = measured;
    this.fleet = fleet;
  }

  double requestsOfEntry() {
    return fleet.requestsPerSecond() / fleet.daemons();
  }

  double tokensOfEntry() {
    return fleet.tokensPerSecond() / fleet.daemons();
  }

  double streamsOfEntry() {
    return fleet.openStreams() / fleet.daemons();
  }

  /** Percent of a core for carrying requests, tokens and prompts; no control. */
  Optional<Double> carryingCore() {
    double kilobytes =
        requestsOfEntry()
            * FleetSize.PROMPT_TOKENS
            * FleetSize.PROMPT_BYTES_PER_TOKEN
            / BYTES_PER_KILOBYTE;
    return sum(
        core(Measure.REQUEST_MICROS, requestsOfEntry()),
        core(Measure.TOKEN_MICROS, tokensOfEntry()),
        core(Measure.PROMPT_MICROS, kilobytes));
  }

  Optional<Double> tokenCore() {
    return core(Measure.TOKEN_MICROS, tokensOfEntry());
  }

  /** Owners that an entry has something with at a moment. */
  double ownersOfEntry() {
    return Math.min(streamsOfEntry(), (double) fleet.shards() / fleet.regions());
  }

  double entryMessages() {
    return requestsOfEntry() * (1 + REPORTS) + ownersOfEntry();
  }

  Optional<Double> entryBytes() {
    double held = streamsOfEntry() / ownersOfEntry();
    return sum(
        times(placeBytes(), requestsOfEntry()),
        times(measured.value(Measure.REPORT_BYTES), REPORTS * requestsOfEntry()),
        times(measured.atSize(Measure.HOLDINGS_BYTES, held), ownersOfEntry()));
  }

  /** Bytes of a Place message with the hashes of a mean prompt. */
  Optional<Double> placeBytes() {
    return measured.atSize(Measure.PLACE_BYTES, (double) FleetSize.PROMPT_TOKENS / BLOCK_TOKENS);
  }

  double requestsOfOwner() {
    return fleet.requestsPerSecond() / fleet.shards();
  }

  /** Entries that hold something in one shard at a moment. */
  private double entriesOfOwner() {
    return ownersOfEntry() * fleet.daemons() / fleet.shards();
  }

  double ownerMessagesReceived() {
    return requestsOfOwner() * (1 + REPORTS) + entriesOfOwner();
  }

  Optional<Double> ownerBytesReceived() {
    return times(entryBytes(), (double) fleet.daemons() / fleet.shards());
  }

  Optional<Double> ownerBytesSent() {
    double others = Math.max(0, (double) fleet.shards() / fleet.regions() - 1);
    return sum(
        times(measured.value(Measure.GRANTED_BYTES), requestsOfOwner()),
        times(measured.value(Measure.UNKNOWN_BYTES), entriesOfOwner()),
        times(usageBytes(), others / USAGE_SECONDS));
  }

  /** Bytes of the demand of all organisations that have limits. */
  Optional<Double> usageBytes() {
    return measured.atSize(Measure.USAGE_BYTES, fleet.organisations());
  }

  Optional<Double> ownerCore() {
    Optional<Double> decision =
        measured.exactly(Measure.PLACEMENT_MICROS, SHARD_UPSTREAMS, WAITING);
    Optional<Double> messages =
        sum(
            measured.atSize(Measure.PLACE_MICROS, (double) FleetSize.PROMPT_TOKENS / BLOCK_TOKENS),
            measured.value(Measure.GRANTED_MICROS),
            times(measured.value(Measure.REPORT_MICROS), REPORTS));
    double held = streamsOfEntry() / ownersOfEntry();
    return sum(
            times(sum(decision, messages), requestsOfOwner()),
            times(measured.atSize(Measure.HOLDINGS_MICROS, held), entriesOfOwner()))
        .map(micros -> micros / MICROS_PER_PERCENT);
  }

  /** Bytes of a shard's upstreams and of ten seconds of its requests waiting. */
  Optional<Double> ownerState() {
    double upstreams = (double) fleet.upstreams() / fleet.shards();
    return sum(
        times(measured.value(Measure.PLACEMENT_UPSTREAM_STATE), upstreams),
        times(
            measured.atSize(
                Measure.PLACEMENT_WAITING_STATE, (double) FleetSize.PROMPT_TOKENS / BLOCK_TOKENS),
            10 * requestsOfOwner()));
  }

  double claimsOfWriter() {
    return fleet.claimsPerSecond() / SEGMENTS;
  }

  Optional<Double> storeWritesOfClaims() {
    return measured.atLoad(Measure.CLAIMS_WRITES, fleet.claimsPerSecond());
  }

  Optional<Double> writerBytes() {
    return times(
        measured.atLoad(Measure.CLAIMS_STORE_BYTES, fleet.claimsPerSecond()), 1.0 / SEGMENTS);
  }

  Optional<Double> writerCore() {
    return measured
        .atLoad(Measure.CLAIMS_PROCESSOR, fleet.claimsPerSecond())
        .map(micros -> micros * claimsOfWriter() / MICROS_PER_PERCENT);
  }

  Optional<Double> atDaemons(Measure measure) {
    return measured.atSize(measure, fleet.daemons());
  }

  /** Percent of a core for control of a daemon that is entry only. */
  Optional<Double> controlCore() {
    return sum(
        measured.exactly(Measure.IDLE_CORE, 0, 0),
        atDaemons(Measure.MEMBERSHIP_CORE),
        atDaemons(Measure.REST_CORE),
        entryMessageCore());
  }

  /** Percent of a core to write and read the messages of an entry. */
  Optional<Double> entryMessageCore() {
    double held = streamsOfEntry() / ownersOfEntry();
    return sum(
            times(
                sum(
                    measured.atSize(
                        Measure.PLACE_MICROS, (double) FleetSize.PROMPT_TOKENS / BLOCK_TOKENS),
                    measured.value(Measure.GRANTED_MICROS),
                    times(measured.value(Measure.REPORT_MICROS), REPORTS)),
                requestsOfEntry()),
            times(measured.atSize(Measure.HOLDINGS_MICROS, held), ownersOfEntry()))
        .map(micros -> micros / MICROS_PER_PERCENT);
  }

  /** Bytes sent by a mean daemon for control, its part of owning and of claims included. */
  Optional<Double> meanControlBytes() {
    return sum(
        entryBytes(),
        times(ownerBytesSent(), (double) fleet.shards() / fleet.daemons()),
        times(writerBytes(), (double) SEGMENTS / fleet.daemons()),
        atDaemons(Measure.MEMBERSHIP_BYTES),
        atDaemons(Measure.REST_BYTES));
  }

  private Optional<Double> core(Measure micros, double perSecond) {
    return times(measured.value(micros), perSecond / MICROS_PER_PERCENT);
  }

  private static Optional<Double> times(Optional<Double> value, double factor) {
    return value.map(each -> each * factor);
  }

  @SafeVarargs
  private static Optional<Double> sum(Optional<Double>... parts) {
    double sum = 0;
    for (Optional<Double> part : parts) {
      if (part.isEmpty()) {
        return Optional.empty();
      }
      sum += part.get();
    }
    return Optional.of(sum);
  }
}
