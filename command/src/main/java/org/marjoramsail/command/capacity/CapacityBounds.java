package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The figures of the target size, each with what is needed and what there is. */
final class CapacityBounds {

  private static final double CORE_PERCENT = 1.4;
  private static final double BYTES_PER_SECOND = 27_000;
  private static final double MEMORY_BYTES = 32_000_000;
  private static final double ROOT_BYTES = 995_904;
  private static final double STORE_WRITES = 400;
  private static final double STORE_READS = 2_000;
  private static final double CHANGE_MILLIS = 16_000;
  private static final double WHOLE_CORE = 100;
  private static final int ACCELERATORS = 3_100;
  private static final int SLOTS = 20;
  private static final double TOKEN_SECONDS = 0.026;
  private static final double PREFILL_TOKENS_PER_SECOND = 10_000;
  private static final double KV_GIGABYTES_PER_SECOND = 1_200;
  private static final double LINK_GIGABYTES_PER_SECOND = 6.25;
  private static final int LONG_PROMPT_HASHES = 1_875;
  private static final int INDEXED_HASHES = 512;

  private CapacityBounds() {}

  static List<Bound> of(Measurements measured, RoleCosts target) {
    List<Bound> bounds = new ArrayList<>(control(measured, target));
    bounds.addAll(engines(measured));
    bounds.addAll(daemons(target));
    bounds.addAll(platform(measured, target));
    return bounds;
  }

  private static List<Bound> control(Measurements measured, RoleCosts target) {
    return List.of(
        bound(
            "control of an entry daemon, % of a core",
            target.controlCore(),
            CORE_PERCENT,
            "timers without callers, membership, configuration and messages of placement together",
            "run timers only while something is due"),
        bound(
            "control sent by a mean daemon, bytes/s",
            target.meanControlBytes(),
            BYTES_PER_SECOND,
            "the mean over all daemons, owners and writers included",
            "fewer hashes in a Place, field numbers in place of names in frames"),
        bound(
            "received by the owner of one shard, bytes/s",
            target.ownerBytesReceived(),
            BYTES_PER_SECOND,
            "above about " + breakingRequests(target) + " requests/s of the whole fleet",
            "shards of 12 upstreams, 8 hashes in a Place, Holdings of changes only"),
        bound(
            "sent by the owner of one shard, bytes/s",
            target.ownerBytesSent(),
            BYTES_PER_SECOND,
            "usage of 350 organisations, if all have limits, to each other owner of the region",
            "send what changed, or to one owner that adds it up"),
        bound(
            "sent to the store by the writer of one segment, bytes/s",
            target.writerBytes(),
            BYTES_PER_SECOND,
            "the open page is rewritten whole with each update",
            "smaller pages, or more segments with longer waits"),
        bound(
            "a Place message of a prompt of 30,000 tokens, bytes",
            measured.atSize(Measure.PLACE_BYTES, LONG_PROMPT_HASHES),
            measured.atSize(Measure.PLACE_BYTES, INDEXED_HASHES).orElse(0.0),
            "all hashes are sent, but the index keeps 512 of a prompt",
            "cut the hashes at what the index can match"));
  }

  private static List<Bound> engines(Measurements measured) {
    FleetSize fleet = FleetSize.TARGET;
    double slotTokens = SLOTS / TOKEN_SECONDS;
    return List.of(
        bound(
            "generated tokens/s, 770 servers as engines of 20 slots",
            Optional.of(fleet.tokensPerSecond()),
            fleet.upstreams() * slotTokens,
            "even if all of them generated and none read prompts",
            "one upstream for each accelerator, or some 80 slots a server"),
        bound(
            "configuration with 3,100 upstreams, bytes of the root",
            measured.atSize(Measure.ROOT_BYTES, ACCELERATORS),
            ROOT_BYTES,
            "at the platform's megabyte",
            "immutable parts first, and a root that names them"),
        bound(
            "generated tokens/s, 3,100 accelerators as engines, of them "
                + "those that the prompts leave",
            Optional.of(fleet.tokensPerSecond()),
            (ACCELERATORS - prefillEngines(fleet)) * slotTokens,
            "the rate of a prefill engine is assumed: 10,000 tokens/s",
            ""),
        bound(
            "KV cache over the links, GB/s",
            Optional.of(KV_GIGABYTES_PER_SECOND),
            prefillEngines(fleet) * LINK_GIGABYTES_PER_SECOND,
            "the rate of a link is assumed: 6.25 GB/s for each prefill engine",
            ""));
  }

  private static List<Bound> daemons(RoleCosts target) {
    return List.of(
        bound(
            "carrying requests, tokens and prompts in an entry daemon, % of a core",
            target.carryingCore(), WHOLE_CORE, "on one event loop of one core", ""),
        bound(
            "received and decided by the owner of one shard, % of a core",
            target.ownerCore(),
            CORE_PERCENT,
            "in the placer and the codec",
            "shards of 12 upstreams; fewer bytes to read"),
        bound(
            "membership, % of a core",
            target.atDaemons(Measure.MEMBERSHIP_CORE), CORE_PERCENT, "", ""),
        bound(
            "membership, bytes/s sent",
            target.atDaemons(Measure.MEMBERSHIP_BYTES),
            BYTES_PER_SECOND,
            "",
            ""),
        bound(
            "configuration at rest, % of a core",
            target.atDaemons(Measure.REST_CORE), CORE_PERCENT, "", ""),
        bound(
            "a change in force on the last daemon, ms",
            target.atDaemons(Measure.REVISION_REACHED),
            CHANGE_MILLIS,
            "without lost messages",
            ""));
  }

  private static List<Bound> platform(Measurements measured, RoleCosts target) {
    FleetSize fleet = FleetSize.TARGET;
    return List.of(
        bound(
            "2,100 changes a day, store writes/s",
            measured
                .atSize(Measure.CHANGE_WRITES, fleet.daemons())
                .map(writes -> writes * fleet.changesPerDay() / 86_400),
            STORE_WRITES,
            "a mean over the day",
            ""),
        bound(
            "claims, store writes/s",
            target.storeWritesOfClaims(),
            STORE_WRITES,
            "the count follows the segments, not the claims",
            ""),
        bound(
            "waiting watches, each a read",
            target.atDaemons(Measure.REST_WATCHES),
            STORE_READS,
            "",
            ""),
        bound(
            "configuration after an outage, calls in a minute",
            target.atDaemons(Measure.RECOVERY_STORE_CALLS),
            STORE_READS * 60,
            "",
            ""),
        bound(
            "detector of membership, bytes of memory",
            target.atDaemons(Measure.MEMBERSHIP_STATE),
            MEMORY_BYTES,
            "records shared in the simulation, so a real one holds more",
            ""),
        bound("state of one shard, bytes", target.ownerState(), MEMORY_BYTES, "", ""),
        bound(
            "control of a whole process, bytes of memory",
            Optional.empty(),
            MEMORY_BYTES,
            "not measured: the virtual machine's own memory and the buffers are in no part",
            ""));
  }

  /** Requests a second of the whole fleet at which the owner of a mean shard breaks its bound. */
  private static long breakingRequests(RoleCosts target) {
    double bytes = target.ownerBytesReceived().orElse(BYTES_PER_SECOND);
    return Math.round(FleetSize.TARGET.requestsPerSecond() * BYTES_PER_SECOND / bytes / 100) * 100;
  }

  private static double prefillEngines(FleetSize fleet) {
    return fleet.requestsPerSecond() * FleetSize.PROMPT_TOKENS / PREFILL_TOKENS_PER_SECOND;
  }

  private static Bound bound(
      String what, Optional<Double> needed, double allowed, String breaks, String change) {
    return new Bound(what, needed, allowed, breaks, change);
  }
}
