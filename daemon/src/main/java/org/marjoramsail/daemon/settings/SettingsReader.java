package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads settings and finds every fault in them at once. */
public final class SettingsReader {

  private final JsonMapper mapper;
  private final SettingsSchema schema;
  private final SettingsChecks checks;

  /** Takes the schema of the program's own resources. */
  public SettingsReader() {
    this(
        JsonMapper.builder()
            .addModule(new Jdk8Module())
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .build(),
        new SettingsChecks());
  }

  private SettingsReader(JsonMapper mapper, SettingsChecks checks) {
    this.mapper = mapper;
    this.schema = new SettingsSchema(mapper);
    this.checks = checks;
  }

  /**
   * Reads a file. Paths in it are relative to the file.
   *
   * @throws SettingsException with every fault, if there is one
   */
  public Settings read(Path file) throws SettingsException {
    String text;
    try {
      text = Files.readString(file);
    } catch (IOException failure) {
      throw new SettingsException(
          file.toString(),
          List.of(
              new SettingsProblem(
                  SettingsProblem.Kind.UNREADABLE,
                  "",
                  failure.getClass().getSimpleName(),
                  "a readable file of UTF-8 text",
                  Optional.empty())));
    }
    Path directory = Optional.ofNullable(file.toAbsolutePath().getParent()).orElse(file);
    return read(file.toString(), text, directory);
  }

  /**
   * Reads a text.
   *
   * @param source what faults are reported for
   * @param text the JSON
   * @param directory what paths in it are relative to
   * @throws SettingsException with every fault, if there is one
   */
  public Settings read(String source, String text, Path directory) throws SettingsException {
    JsonNode document = EndpointTexts.expanded(parse(source, text));
    List<SettingsProblem> problems = new ArrayList<>(schema.problemsOf(document));
    problems.addAll(checks.problemsOf(document, directory));
    if (!problems.isEmpty()) {
      throw new SettingsException(source, problems);
    }
    return withDefaults(document);
  }

  private JsonNode parse(String source, String text) throws SettingsException {
    try {
      return mapper.readTree(text);
    } catch (JsonProcessingException failure) {
      throw new SettingsException(
          source,
          List.of(
              new SettingsProblem(
                  SettingsProblem.Kind.MALFORMED,
                  "",
                  "line "
                      + failure.getLocation().getLineNr()
                      + ", column "
                      + failure.getLocation().getColumnNr(),
                  "one JSON object without repeated fields (" + failure.getOriginalMessage() + ")",
                  Optional.empty())));
    }
  }

  private Settings withDefaults(JsonNode document) {
    ObjectNode whole = mapper.createObjectNode();
    whole.set("limits", mapper.valueToTree(LimitSettings.DEFAULT));
    whole.set("placement", mapper.valueToTree(PlacementSettings.DEFAULT));
    whole.set("logging", mapper.valueToTree(LoggingSettings.DEFAULT));
    whole.set("administration", mapper.valueToTree(AdministrationSettings.DEFAULT));
    whole.putArray("peers");
    try {
      JsonNode merged = mapper.readerForUpdating(whole).readValue(document);
      return mapper.treeToValue(merged, Settings.class);
    } catch (IOException impossible) {
      throw new UncheckedIOException("The schema lets through what no record takes.", impossible);
    }
  }
}
