package org.marjoramsail.command.capacity;

/**
 * What a point of a measurement tells, and what its size and its load count.
 *
 * <p>A measure that depends on one number or none leaves the others at zero.
 */
public enum Measure {
  MEMBERSHIP_BYTES("bytes/s sent by a daemon", "daemons", ""),
  MEMBERSHIP_MESSAGES("messages/s sent by a daemon", "daemons", ""),
  MEMBERSHIP_CORE("% of a core", "daemons", ""),
  MEMBERSHIP_STATE("bytes of state in a daemon", "daemons", ""),
  MEMBERSHIP_KNOWN("ms until 99 in 100 daemons know of a death", "daemons", ""),

  CLAIMS_GRANTED("claims granted/s", "daemons", "claims asked/s"),
  CLAIMS_WRITES("store writes/s", "daemons", "claims asked/s"),
  CLAIMS_FAILED_WRITES("store writes without success", "daemons", "claims asked/s"),
  CLAIMS_P50("ms added, half of the claims", "daemons", "claims asked/s"),
  CLAIMS_P99("ms added, 99 in 100 claims", "daemons", "claims asked/s"),
  CLAIMS_STORE_BYTES("bytes/s written to the store", "daemons", "claims asked/s"),
  CLAIMS_PEER_MESSAGES("messages between daemons for a claim", "daemons", "claims asked/s"),
  CLAIMS_PEER_BYTES("bytes between daemons for a claim", "daemons", "claims asked/s"),
  CLAIMS_PROCESSOR("processor µs of all daemons for a claim", "daemons", "claims asked/s"),

  PLACEMENT_MICROS("processor µs of a placement", "upstreams", "requests waiting"),
  PLACEMENT_ALLOCATED("bytes allocated by a placement", "upstreams", "requests waiting"),
  PLACEMENT_WAITING_STATE("bytes of state of a waiting request", "prefix hashes", ""),
  PLACEMENT_UPSTREAM_STATE("bytes of state of an upstream", "upstreams", ""),
  PLACE_BYTES("bytes of a Place message", "prefix hashes", ""),
  PLACE_MICROS("processor µs to write and read a Place message", "prefix hashes", ""),
  GRANTED_BYTES("bytes of a Granted message", "", ""),
  GRANTED_MICROS("processor µs to write and read a Granted message", "", ""),
  REPORT_BYTES("bytes of a Report message", "", ""),
  REPORT_MICROS("processor µs to write and read a Report message", "", ""),
  HOLDINGS_BYTES("bytes of a Holdings message", "attempts held", ""),
  HOLDINGS_MICROS("processor µs to write and read a Holdings message", "attempts held", ""),
  UNKNOWN_BYTES("bytes of an Unknown message without attempts", "", ""),
  USAGE_BYTES("bytes of an OrganisationUsage message", "organisations with demand", ""),

  ROOT_BYTES("bytes of the configuration as JSON", "upstreams", ""),
  REVISION_FULL_BYTES("bytes of a RevisionFull message", "upstreams", ""),
  REVISION_DELTA_BYTES("bytes of a RevisionDelta message", "upstreams", ""),
  REVISION_APPLY("processor ms to put a revision in force in placement", "upstreams", ""),
  REVISION_MESSAGES("messages of the fleet for one revision", "daemons", ""),
  REVISION_BYTES("bytes of the fleet for one revision", "daemons", ""),
  REVISION_REACHED("ms until a revision is in force on the last daemon", "daemons", ""),
  REVISION_PROCESSOR("processor ms of a daemon for one revision", "daemons", ""),
  CHANGE_WRITES("store writes for one change", "daemons", ""),
  CHANGE_READS("store reads for one change", "daemons", ""),
  REST_MESSAGES("configuration messages/s sent by a daemon at rest", "daemons", ""),
  REST_BYTES("configuration bytes/s sent by a daemon at rest", "daemons", ""),
  REST_CORE("% of a core for the configuration at rest", "daemons", ""),
  REST_STORE_CALLS("store calls/s of the fleet at rest", "daemons", ""),
  REST_WATCHES("waiting watches of the fleet", "daemons", ""),
  OUTAGE_STORE_CALLS("store calls of the fleet in the last minute of an outage", "daemons", ""),
  RECOVERY_STORE_CALLS("store calls of the fleet in the minute after an outage", "daemons", ""),
  START_STORE_CALLS("store calls of a fleet that starts at once", "daemons", ""),
  START_BUSIEST_SECOND("store calls in the busiest second of that start", "daemons", ""),
  START_READY("ms until the last daemon of that start has a configuration", "daemons", ""),

  IDLE_CORE("% of a core of a daemon without callers", "upstreams watched", ""),
  REQUEST_MICROS("processor µs of a daemon for a request", "", ""),
  TOKEN_MICROS("processor µs of a daemon for a streamed token", "", ""),
  PROMPT_MICROS("processor µs of a daemon for a kilobyte of prompt", "", ""),
  TOKENS_FIT("R² of the fit", "", ""),
  LEVEL_REQUESTS("requests/s of a level", "level", ""),
  LEVEL_TOKENS("tokens/s of a level", "level", ""),
  LEVEL_PROMPT("kilobytes of prompt/s of a level", "level", ""),
  LEVEL_CORE("% of a core of a level", "level", ""),
  LEVEL_FAILED("requests of a level without a whole answer", "level", ""),

  DIRECT_P50("ms, half of the calls straight to the service", "", "calls/s"),
  DIRECT_P99("ms, 99 in 100 calls straight to the service", "", "calls/s"),
  DAEMON_P50("ms, half of the calls through a daemon", "", "calls/s"),
  DAEMON_P99("ms, 99 in 100 calls through a daemon", "", "calls/s"),
  OVERHEAD_FAILED("calls without status 200", "", "calls/s"),
  SATURATED_REQUESTS("calls/s through a daemon on one event loop, callers waiting", "callers", ""),
  SATURATED_CORE("% of a core used at that rate", "callers", ""),
  SATURATED_DIRECT("calls/s straight to the service, same callers", "callers", "");

  private final String meaning;
  private final String size;
  private final String load;

  Measure(String meaning, String size, String load) {
    this.meaning = meaning;
    this.size = size;
    this.load = load;
  }

  /** What the value is, with its unit. */
  public String meaning() {
    return meaning;
  }

  /** What the size of a point counts; empty where there is none. */
  public String size() {
    return size;
  }

  /** What the load of a point counts; empty where there is none. */
  public String load() {
    return load;
  }
}
