package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Reads settings and finds every fault in them at once. */
public final class SettingsReader {

  private static final Logger LOGGER = LoggerFactory.getLogger(SettingsReader.class);

  private final JsonMapper mapper =
      JsonMapper.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();
  private final SettingsChecks checks = new SettingsChecks();

  /** Creates a reader with the schema of the program's own resources. */
  public SettingsReader() {}

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
    PlatformBound.adjustAll(document).forEach(SettingsReader::warn);
    Optional<Settings> decoded = SettingsDecoder.decode(document);
    List<SettingsProblem> problems = new ArrayList<>();
    if (decoded.isEmpty()) {
      problems.addAll(new SettingsSchema(mapper).problemsOf(document));
    }
    problems.addAll(checks.problemsOf(document, directory));
    if (!problems.isEmpty()) {
      throw new SettingsException(source, problems);
    }
    return decoded.isPresent() ? decoded.get() : new SettingsRecords(mapper).withDefaults(document);
  }

  private static void warn(SettingsAdjustment adjustment) {
    LOGGER
        .atWarn()
        .addKeyValue("field", adjustment.path())
        .addKeyValue("value", adjustment.given())
        .addKeyValue("used", adjustment.used())
        .log("setting is out of its range or absent");
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
}
