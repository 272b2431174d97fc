package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;

/**
 * Maps what the schema accepts, though the quick decoder does not vouch for it, to settings by
 * reflection.
 */
final class SettingsRecords {

  private final JsonMapper records;

  SettingsRecords(JsonMapper mapper) {
    this.records = mapper.rebuild().addModule(new Jdk8Module()).build();
  }

  /** The settings of a document in which the schema finds no fault. */
  Settings withDefaults(JsonNode document) {
    ObjectNode whole = records.createObjectNode();
    whole.set("limits", records.valueToTree(LimitSettings.DEFAULT));
    whole.set("placement", records.valueToTree(PlacementSettings.DEFAULT));
    whole.set("logging", records.valueToTree(LoggingSettings.DEFAULT));
    whole.set("administration", records.valueToTree(AdministrationSettings.DEFAULT));
    whole.putArray("peers");
    try {
      JsonNode merged = records.readerForUpdating(whole).readValue(document);
      return records.treeToValue(merged, Settings.class);
    } catch (IOException impossible) {
      throw new UncheckedIOException("The schema lets through what no record takes.", impossible);
    }
  }
}
