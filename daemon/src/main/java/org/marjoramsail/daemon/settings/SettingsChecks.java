package org.marjoramsail.daemon.settings;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.util.NetUtil;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.language.NearestName;

/** Checks what a schema cannot say: addresses, files, and values that must differ. */
final class SettingsChecks {

  private static final List<String> PORTS = List.of("caller", "operator", "peer");

  List<SettingsProblem> problemsOf(JsonNode document, Path directory) {
    List<SettingsProblem> problems = new ArrayList<>();
    for (String port : PORTS) {
      checkAddress(document, "/listen/" + port, problems);
    }
    checkAddress(document, "/platform", problems);
    checkAddress(document, "/forwarding/ready", problems);
    for (int position = 0; position < document.path("peers").size(); position++) {
      checkAddress(document, "/peers/" + position, problems);
    }
    checkPortsDiffer(document, problems);
    checkEntriesDiffer(document, "/peers", List.of("address", "port"), problems);
    checkEntriesDiffer(document, "/administration/tokens", List.of("name"), problems);
    checkEntriesDiffer(document, "/administration/tokens", List.of("sha256"), problems);
    checkPolicy(document, problems);
    checkKeyFiles(document, "/tls/caller", directory, problems);
    checkKeyFiles(document, "/tls/operator", directory, problems);
    return problems;
  }

  /** Daemons are reached by IP numbers only, so that a start needs no name service. */
  private static void checkAddress(
      JsonNode document, String endpoint, List<SettingsProblem> problems) {
    String path = endpoint + "/address";
    JsonNode address = document.at(path);
    if (!address.isTextual()) {
      return;
    }
    String text = address.asText();
    if (!NetUtil.isValidIpV4Address(text) && !NetUtil.isValidIpV6Address(text)) {
      problems.add(notAllowed(path, address, "an IP number such as 10.0.1.5 or fd00::5"));
    }
  }

  private static void checkPortsDiffer(JsonNode document, List<SettingsProblem> problems) {
    Set<String> seen = new HashSet<>();
    for (String name : PORTS) {
      JsonNode endpoint = document.at("/listen/" + name);
      JsonNode port = endpoint.path("port");
      if (port.asInt() != 0 && !seen.add(endpoint.path("address").asText() + " " + port)) {
        problems.add(
            duplicate("/listen/" + name + "/port", port, "a port of its own on that address"));
      }
    }
  }

  private static void checkEntriesDiffer(
      JsonNode document, String list, List<String> fields, List<SettingsProblem> problems) {
    Set<List<JsonNode>> seen = new HashSet<>();
    JsonNode entries = document.at(list);
    for (int position = 0; position < entries.size(); position++) {
      JsonNode entry = entries.get(position);
      List<JsonNode> values = fields.stream().map(entry::path).toList();
      boolean isWhole = values.stream().noneMatch(JsonNode::isMissingNode);
      if (isWhole && !seen.add(values)) {
        String path = list + "/" + position + "/" + fields.get(0);
        String allowed = "entries with a different " + String.join(" or ", fields);
        problems.add(duplicate(path, values.get(0), allowed));
      }
    }
  }

  /** The policies are those that the program has, so the schema does not list them again. */
  private static void checkPolicy(JsonNode document, List<SettingsProblem> problems) {
    String path = "/placement/policy";
    JsonNode policy = document.at(path);
    List<String> codes = PlacementPolicy.codes();
    if (policy.isTextual() && !codes.contains(policy.asText())) {
      problems.add(
          new SettingsProblem(
              SettingsProblem.Kind.NOT_ALLOWED,
              path,
              policy.toString(),
              String.join(", ", codes),
              NearestName.of(policy.asText(), codes)));
    }
  }

  private static void checkKeyFiles(
      JsonNode document, String pair, Path directory, List<SettingsProblem> problems) {
    for (String name : List.of("certificate", "key")) {
      JsonNode path = document.at(pair + "/" + name);
      if (path.isTextual() && !Files.isReadable(directory.resolve(path.asText()))) {
        problems.add(
            notAllowed(
                pair + "/" + name,
                path,
                "the path of a readable PEM file, relative to " + "the settings or absolute"));
      }
    }
  }

  private static SettingsProblem notAllowed(String path, JsonNode value, String allowed) {
    return new SettingsProblem(
        SettingsProblem.Kind.NOT_ALLOWED, path, value.toString(), allowed, Optional.empty());
  }

  private static SettingsProblem duplicate(String path, JsonNode value, String allowed) {
    return new SettingsProblem(
        SettingsProblem.Kind.DUPLICATE, path, value.toString(), allowed, Optional.empty());
  }
}
