package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.networknt.schema.Error;
import com.networknt.schema.Schema;
import com.networknt.schema.SchemaRegistry;
import com.networknt.schema.SpecificationVersion;
import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.language.NearestName;

/** Checks a document against the JSON Schema and words each fault for its reader. */
final class SettingsSchema {

  private static final String RESOURCE = "settings.schema.json";

  private final JsonNode source;
  private final Schema schema;

  SettingsSchema(ObjectMapper mapper) {
    try (InputStream stream = SettingsSchema.class.getResourceAsStream(RESOURCE)) {
      this.source = mapper.readTree(stream);
    } catch (IOException failure) {
      throw new UncheckedIOException("The program's own " + RESOURCE + " is broken.", failure);
    }
    this.schema =
        SchemaRegistry.withDefaultDialect(SpecificationVersion.DRAFT_2020_12).getSchema(source);
  }

  List<SettingsProblem> problemsOf(JsonNode document) {
    return schema.validate(document).stream().map(error -> problemOf(error)).toList();
  }

  private SettingsProblem problemOf(Error error) {
    String path = error.getInstanceLocation().toString();
    return switch (error.getKeyword()) {
      case "additionalProperties" -> unknownField(error, path);
      case "required" -> missingField(error, path);
      default ->
          new SettingsProblem(
              SettingsProblem.Kind.NOT_ALLOWED,
              path,
              String.valueOf(error.getInstanceNode()),
              allowedAt(schemaOf(error)),
              nearestValue(error));
    };
  }

  private SettingsProblem unknownField(Error error, String path) {
    List<String> names = fieldNames(schemaOf(error).path("properties"));
    return new SettingsProblem(
        SettingsProblem.Kind.UNKNOWN_FIELD,
        path + "/" + error.getProperty(),
        String.valueOf(error.getInstanceNode().path(error.getProperty())),
        String.join(", ", names),
        NearestName.of(error.getProperty(), names));
  }

  private SettingsProblem missingField(Error error, String path) {
    JsonNode field = schemaOf(error).path("properties").path(error.getProperty());
    return new SettingsProblem(
        SettingsProblem.Kind.MISSING_FIELD,
        path + "/" + error.getProperty(),
        "",
        allowedAt(resolved(field)),
        Optional.empty());
  }

  private Optional<String> nearestValue(Error error) {
    List<String> values = new ArrayList<>();
    schemaOf(error).path("enum").forEach(value -> values.add(value.asText()));
    return NearestName.of(error.getInstanceNode().asText(), values);
  }

  /** The part of the schema that holds the keyword which the document broke. */
  private JsonNode schemaOf(Error error) {
    String pointer = error.getSchemaLocation().getFragment().toString();
    return source.at(pointer.substring(0, pointer.lastIndexOf('/')));
  }

  private JsonNode resolved(JsonNode part) {
    if (part.has("description") || !part.has("$ref")) {
      return part;
    }
    return source.at(part.path("$ref").asText().substring(1));
  }

  private static String allowedAt(JsonNode part) {
    return part.path("description").asText("a JSON object");
  }

  private static List<String> fieldNames(JsonNode properties) {
    List<String> names = new ArrayList<>();
    properties.fieldNames().forEachRemaining(names::add);
    return names;
  }
}
