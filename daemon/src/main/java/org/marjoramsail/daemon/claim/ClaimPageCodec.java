package org.marjoramsail.daemon.claim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.claim.ClaimEntry;
import org.marjoramsail.core.claim.ClaimId;
import org.marjoramsail.core.claim.ClaimPage;
import org.marjoramsail.core.claim.ClaimState;
import org.marjoramsail.core.model.DaemonId;

/**
 * Converts claim pages to and from JSON.
 *
 * <p>Each entry is an array instead of an object, which keeps pages small, since every write
 * replaces a whole page.
 */
final class ClaimPageCodec {

  private static final int FIELDS_PER_ENTRY = 9;

  private ClaimPageCodec() {}

  static ObjectNode write(ClaimPage page) {
    ObjectNode spec = JsonNodeFactory.instance.objectNode();
    spec.put("ordinal", page.ordinal());
    spec.put("sealed", page.sealed());
    spec.put("segmentMillis", page.segmentMillis());
    ArrayNode entries = spec.putArray("entries");
    page.entries().forEach(entry -> write(entries.addArray(), entry));
    return spec;
  }

  private static void write(ArrayNode fields, ClaimEntry entry) {
    fields.add(entry.keyHash());
    fields.add(entry.bodyHash());
    fields.add(entry.id().daemon().host());
    fields.add(entry.id().daemon().incarnation());
    fields.add(entry.id().sequence());
    fields.add(entry.state().name());
    fields.add(entry.status());
    fields.add(entry.summary());
    fields.add(entry.expiryMillis());
  }

  /** Parses a page; returns empty if the content is not a page that this version can read. */
  static Optional<ClaimPage> read(ObjectNode spec) {
    List<ClaimEntry> entries = new ArrayList<>();
    for (JsonNode fields : spec.path("entries")) {
      Optional<ClaimState> state = state(fields.path(5).asText());
      if (fields.size() != FIELDS_PER_ENTRY || state.isEmpty()) {
        return Optional.empty();
      }
      entries.add(entry(fields, state.get()));
    }
    if (!spec.path("ordinal").isIntegralNumber() || !spec.path("sealed").isBoolean()) {
      return Optional.empty();
    }
    return Optional.of(
        new ClaimPage(
            spec.path("ordinal").asLong(),
            spec.path("sealed").asBoolean(),
            spec.path("segmentMillis").asLong(),
            entries));
  }

  private static ClaimEntry entry(JsonNode fields, ClaimState state) {
    DaemonId daemon = new DaemonId(fields.path(2).asText(), fields.path(3).asLong());
    return new ClaimEntry(
        fields.path(0).asText(),
        fields.path(1).asText(),
        new ClaimId(daemon, fields.path(4).asLong()),
        state,
        fields.path(6).asInt(),
        fields.path(7).asText(),
        fields.path(8).asLong());
  }

  private static Optional<ClaimState> state(String name) {
    for (ClaimState state : ClaimState.values()) {
      if (state.name().equals(name)) {
        return Optional.of(state);
      }
    }
    return Optional.empty();
  }
}
