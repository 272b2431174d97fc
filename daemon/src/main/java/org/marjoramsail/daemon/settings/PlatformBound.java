package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.DoubleNode;
import com.fasterxml.jackson.databind.node.NullNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * A number of the settings that the platform fills in, with the range that has a meaning.
 *
 * <p>Guards against the failure in which one odd figure of the platform, written into the settings
 * of every host alike, keeps a whole fleet from starting: a number out of range is replaced by the
 * nearest one in range, and an absent one by a value with which no promise is broken. A value that
 * is no number is a mistake in the file and is refused.
 */
enum PlatformBound {
  /** Without it nothing is sent twice for a share of the load. */
  RETRY_RATIO("retryRatio", 0, 10, 0),
  /** Without it nothing is sent twice beyond that share. */
  RETRY_SLACK("retrySlack", 0, 1e9, 0),
  /** Without it a stop takes as long as the shortest grace that is known of any deployment. */
  GRACE_SECONDS("graceSeconds", 1, 86_400, 5),
  /** Without it a holder of orders is waited out for as long as by default. */
  LEASE_MILLIS("leaseMillis", 0, 3_600_000, 0),
  /** Without it a host counts as recovered after the shortest time known of any deployment. */
  RECOVERY_MILLIS("recoveryMillis", 0, 3_600_000, 3_000),
  /** Without it changes have to be in force in the shortest time known of any deployment. */
  CONFIGURATION_MILLIS("configurationMillis", 0, 3_600_000, 2_000),
  /** Without it the same holds for upstreams that leave. */
  DRAIN_MILLIS("drainMillis", 0, 3_600_000, 2_000),
  /** Without it entries count as expired after the shortest outage known of any deployment. */
  HEARTBEAT_MILLIS("heartbeatMillis", 0, 3_600_000, 500),
  /** Without it a host counts as one that gives a whole core. */
  PROCESSOR_SHARE("processorShare", 0.001, 1_000, 1),
  /** Without it a core counts as one of the usual speed. */
  PROCESSOR_SPEED("processorSpeed", 0.001, 1_000, 1);

  private static final String PARENT = "forwarding";

  private final String field;
  private final double lowest;
  private final double highest;
  private final double whereAbsent;

  PlatformBound(String field, double lowest, double highest, double whereAbsent) {
    this.field = field;
    this.lowest = lowest;
    this.highest = highest;
    this.whereAbsent = whereAbsent;
  }

  /** Puts every such number of a document into its range and tells what was changed. */
  static List<SettingsAdjustment> adjustAll(JsonNode document) {
    List<SettingsAdjustment> adjustments = new ArrayList<>();
    if (document.path(PARENT) instanceof ObjectNode forwarding) {
      for (PlatformBound bound : values()) {
        bound.adjust(forwarding).ifPresent(adjustments::add);
      }
    }
    return adjustments;
  }

  /** Reads the number of this bound from the fields of its parent. */
  double read(SettingsFields forwarding) throws UnclearSettingsException {
    return forwarding.number(field, lowest, highest);
  }

  private Optional<SettingsAdjustment> adjust(ObjectNode forwarding) {
    JsonNode given = forwarding.path(field);
    if (given.isMissingNode() || given.isNull()) {
      return Optional.of(replace(forwarding, NullNode.instance, whereAbsent));
    }
    if (!given.isNumber()) {
      return Optional.empty();
    }
    double nearest = Math.min(highest, Math.max(lowest, given.doubleValue()));
    return nearest == given.doubleValue()
        ? Optional.empty()
        : Optional.of(replace(forwarding, given, nearest));
  }

  private SettingsAdjustment replace(ObjectNode forwarding, JsonNode given, double used) {
    forwarding.set(field, DoubleNode.valueOf(used));
    return new SettingsAdjustment("/" + PARENT + "/" + field, given.toString(), used);
  }
}
