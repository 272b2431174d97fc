package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Lets an endpoint be written as one text, {@code "10.0.1.5:8080"} or {@code "[fd00::5]:8080"}. */
final class EndpointTexts {

  private static final Pattern TEXT = Pattern.compile("(?:\\[([^\\]]+)]|([^:]+)):(\\d{1,5})");
  private static final List<String> OBJECTS = List.of("/listen", "", "/forwarding");
  private static final List<String> FIELDS =
      List.of("caller", "operator", "peer", "platform", "ready", "relay");

  private EndpointTexts() {}

  /** Turns such texts into objects, in place; other texts stay, and the schema refuses them. */
  static JsonNode expanded(JsonNode document) {
    for (String path : OBJECTS) {
      if (document.at(path) instanceof ObjectNode object) {
        FIELDS.forEach(field -> expand(object, field));
      }
    }
    if (document.path("peers") instanceof ArrayNode peers) {
      for (int position = 0; position < peers.size(); position++) {
        Matcher matcher = TEXT.matcher(peers.get(position).asText());
        if (matcher.matches()) {
          peers.set(position, endpoint(peers.objectNode(), matcher));
        }
      }
    }
    return document;
  }

  private static void expand(ObjectNode object, String field) {
    Matcher matcher = TEXT.matcher(object.path(field).asText());
    if (matcher.matches()) {
      object.set(field, endpoint(object.objectNode(), matcher));
    }
  }

  private static ObjectNode endpoint(ObjectNode endpoint, Matcher matcher) {
    String address = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
    return endpoint.put("address", address).put("port", Integer.parseInt(matcher.group(3)));
  }
}
