package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** The JSON of objects and lists, as the platform writes it. */
final class ObjectJson {

  private final ObjectMapper mapper = new ObjectMapper();

  ObjectNode parse(byte[] body) throws IOException {
    if (mapper.readTree(body) instanceof ObjectNode object) {
      return object;
    }
    throw new IOException("The answer is not a JSON object.");
  }

  StoredObject object(String kind, JsonNode json) throws IOException {
    JsonNode metadata = json.path("metadata");
    String name = metadata.path("name").asText("");
    String version = metadata.path("resourceVersion").asText("");
    if (name.isEmpty() || version.isEmpty() || !(json.get("spec") instanceof ObjectNode spec)) {
      throw new IOException("The answer lacks a name, a resourceVersion or a spec.");
    }
    return new StoredObject(kind, name, version, spec);
  }

  ObjectList list(String kind, JsonNode json) throws IOException {
    if (!(json.get("items") instanceof ArrayNode items)) {
      throw new IOException("The answer has no array of items, but " + json.path("items") + ".");
    }
    List<StoredObject> objects = new ArrayList<>();
    for (JsonNode item : items) {
      objects.add(object(kind, item));
    }
    return new ObjectList(version(json), List.copyOf(objects));
  }

  String version(JsonNode json) throws IOException {
    String version = json.path("metadata").path("resourceVersion").asText("");
    if (version.isEmpty()) {
      throw new IOException("The answer lacks a resourceVersion.");
    }
    return version;
  }

  ObjectNode write(String kind, String name, Optional<String> version, ObjectNode spec) {
    ObjectNode object = mapper.createObjectNode();
    object.put("kind", kind);
    ObjectNode metadata = object.putObject("metadata").put("name", name);
    version.ifPresent(present -> metadata.put("resourceVersion", present));
    object.set("spec", spec);
    return object;
  }
}
