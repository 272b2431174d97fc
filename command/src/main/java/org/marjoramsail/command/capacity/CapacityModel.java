package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;

/** Works out from recorded measurements what each role costs at the target size and today. */
final class CapacityModel {

  private final Measurements measured;
  private final List<RoleCosts> costs;

  CapacityModel(List<Measurement> measurements) {
    this.measured = new Measurements(measurements);
    this.costs =
        Arrays.stream(FleetSize.values()).map(fleet -> new RoleCosts(measured, fleet)).toList();
  }

  /** A line for each number of each role, with a column for each fleet. */
  List<CapacityRow> roles() {
    List<CapacityRow> rows = new ArrayList<>();
    carrying(rows);
    entry(rows);
    owner(rows);
    claims(rows);
    orders(rows);
    membership(rows);
    configuration(rows);
    return rows;
  }

  private void carrying(List<CapacityRow> rows) {
    String role = "entry daemon, carrying";
    rows.add(row(role, "requests/s", all(RoleCosts::requestsOfEntry), "the platform's balancer"));
    rows.add(
        row(role, "streamed tokens/s", all(RoleCosts::tokensOfEntry), "a frame for each token"));
    rows.add(
        row(
            role,
            "streams open at a moment",
            all(RoleCosts::streamsOfEntry),
            "tokens/s times 26 ms"));
    rows.add(row(role, "% of a core", some(RoleCosts::carryingCore), "caller and upstream HTTP"));
    rows.add(
        row(role, "% of a core, tokens alone", some(RoleCosts::tokenCore), "frames and events"));
    rows.add(row(role, "bytes of state", none(), "not measured: the heap of an open request"));
  }

  private void entry(List<CapacityRow> rows) {
    String role = "entry daemon, control";
    rows.add(
        row(
            role,
            "placement messages/s sent",
            all(RoleCosts::entryMessages),
            "Place, three Reports, Holdings to each owner each second"));
    rows.add(row(role, "bytes/s sent", some(RoleCosts::entryBytes), "the same"));
    rows.add(row(role, "% of a core", some(RoleCosts::entryMessageCore), "the codec of peers"));
    rows.add(
        row(
            role,
            "% of a core, timers without callers",
            some(cost -> measured.exactly(Measure.IDLE_CORE, 0, 0)),
            "periodic timers of all parts"));
  }

  private void owner(List<CapacityRow> rows) {
    String role = "shard owner, for one shard";
    rows.add(row(role, "requests/s", all(RoleCosts::requestsOfOwner), "rendezvous hashing"));
    rows.add(
        row(
            role,
            "messages/s received",
            all(RoleCosts::ownerMessagesReceived),
            "Place, Reports and Holdings of all entries"));
    rows.add(row(role, "bytes/s received", some(RoleCosts::ownerBytesReceived), "the same"));
    rows.add(
        row(
            role,
            "bytes/s sent",
            some(RoleCosts::ownerBytesSent),
            "Granted, Unknown, usage of organisations to other owners each 2 s"));
    rows.add(row(role, "% of a core", some(RoleCosts::ownerCore), "ReservingPlacer and the codec"));
    rows.add(
        row(
            role,
            "bytes of state",
            some(RoleCosts::ownerState),
            "prefix index, and requests that wait ten seconds"));
    rows.add(row(role, "bytes/s of load reports", none(), "not measured: HTTP polls of upstreams"));
  }

  private void claims(List<CapacityRow> rows) {
    String role = "claim writer, for one of 8 segments";
    rows.add(row(role, "claims/s", all(RoleCosts::claimsOfWriter), "hash of the key"));
    rows.add(
        row(
            role,
            "store writes/s, all segments",
            some(RoleCosts::storeWritesOfClaims),
            "a conditional update each 40 ms at most"));
    rows.add(
        row(
            role,
            "bytes/s sent to the store",
            some(RoleCosts::writerBytes),
            "the last page of a segment, rewritten"));
    rows.add(row(role, "% of a core", some(RoleCosts::writerCore), "ClaimBatcher, JSON, HTTP"));
    rows.add(
        row(role, "bytes of state", none(), "not measured: claims of 300 s in the owner's heap"));
  }

  private void orders(List<CapacityRow> rows) {
    String role = "order holder";
    rows.add(
        row(
            role,
            "store writes/s, all 4 leases",
            all(cost -> 4 / 20.0),
            "a renewal each 20 s; from the settings, not measured"));
    rows.add(
        row(role, "% of a core", none(), "not measured: rounds over the engines of a service"));
  }

  private void membership(List<CapacityRow> rows) {
    String role = "membership peer";
    measuredRow(rows, role, Measure.MEMBERSHIP_MESSAGES, "SWIM, a ping each 250 ms");
    measuredRow(rows, role, Measure.MEMBERSHIP_BYTES, "news on pings, a death and ten restarts");
    measuredRow(rows, role, Measure.MEMBERSHIP_CORE, "the same");
    measuredRow(rows, role, Measure.MEMBERSHIP_STATE, "beliefs about all daemons");
    measuredRow(rows, role, Measure.MEMBERSHIP_KNOWN, "suspicion and news");
  }

  private void configuration(List<CapacityRow> rows) {
    String role = "configuration peer";
    measuredRow(rows, role, Measure.REST_MESSAGES, "a comparison each 2 s");
    measuredRow(rows, role, Measure.REST_BYTES, "the same");
    measuredRow(rows, role, Measure.REST_CORE, "ticks, choice of who watches");
    measuredRow(rows, role, Measure.REVISION_REACHED, "push to 16, then to 4 each");
    measuredRow(rows, role, Measure.REVISION_MESSAGES, "the same");
    measuredRow(rows, role, Measure.REVISION_BYTES, "deltas");
    measuredRow(rows, role, Measure.REVISION_PROCESSOR, "checksum, difference, apply");
    rows.add(
        row(
            role,
            "bytes of the configuration as JSON",
            values(fleet -> measured.atSize(Measure.ROOT_BYTES, fleet.upstreams())),
            "one root; today's columns with 350 organisations"));
  }

  private void measuredRow(List<CapacityRow> rows, String role, Measure measure, String mechanism) {
    rows.add(row(role, measure.meaning(), some(cost -> cost.atDaemons(measure)), mechanism));
  }

  /** The platform's calls: a line for each mechanism; numbers are calls a second. */
  List<CapacityRow> platform() {
    return List.of(
        row(
            "claims",
            "writes/s",
            some(RoleCosts::storeWritesOfClaims),
            "8 segments, each written at most every 40 ms"),
        row(
            "configuration",
            "writes/s",
            values(
                fleet ->
                    measured
                        .atSize(Measure.CHANGE_WRITES, fleet.daemons())
                        .map(writes -> writes * fleet.changesPerDay() / 86_400)),
            "the root and the kept revision"),
        row(
            "configuration",
            "waiting watches",
            some(cost -> cost.atDaemons(Measure.REST_WATCHES)),
            "two daemons of each region"),
        row(
            "configuration",
            "other calls/s at rest",
            some(cost -> cost.atDaemons(Measure.REST_STORE_CALLS)),
            "none but the watches"),
        row(
            "configuration",
            "calls in the last minute of an outage",
            some(cost -> cost.atDaemons(Measure.OUTAGE_STORE_CALLS)),
            "back-off to 15 s"),
        row(
            "configuration",
            "calls in the minute after an outage",
            some(cost -> cost.atDaemons(Measure.RECOVERY_STORE_CALLS)),
            "each watch once"),
        row(
            "configuration",
            "calls in the busiest second of a start of all",
            some(cost -> cost.atDaemons(Measure.START_BUSIEST_SECOND)),
            "random start, peers first"),
        row(
            "leases of orders",
            "writes/s",
            all(cost -> 4 / 20.0),
            "from the settings, not measured"),
        row("claims", "calls in the minute after an outage", none(), "not measured"),
        row("audit of operators", "writes/s", none(), "not measured: gathered for a second"),
        row("host list", "reads/s", none(), "not measured: the daemon does not ask for it yet"));
  }

  /** The needs of the target size against what there is, broken or not. */
  List<Bound> bounds() {
    return CapacityBounds.of(measured, new RoleCosts(measured, FleetSize.TARGET));
  }

  private List<Optional<Double>> all(ToDoubleFunction<RoleCosts> cost) {
    return costs.stream().map(each -> Optional.of(cost.applyAsDouble(each))).toList();
  }

  private List<Optional<Double>> some(Function<RoleCosts, Optional<Double>> cost) {
    return costs.stream().map(cost).toList();
  }

  private static List<Optional<Double>> values(Function<FleetSize, Optional<Double>> value) {
    return Arrays.stream(FleetSize.values()).map(value).toList();
  }

  private static List<Optional<Double>> none() {
    return values(fleet -> Optional.empty());
  }

  private static CapacityRow row(
      String subject, String quantity, List<Optional<Double>> values, String mechanism) {
    return new CapacityRow(subject, quantity, values, mechanism);
  }
}
