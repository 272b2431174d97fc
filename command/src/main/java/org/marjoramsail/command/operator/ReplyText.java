package org.marjoramsail.command.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.ArrayList;
import java.util.List;

/** Words answers for people. */
public final class ReplyText {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ReplyText() {}

  /** Lines, each with its line end: a table, or what became of an order, or why it was refused. */
  public static String of(OperatorReply reply) {
    if (reply.isText()) {
      return reply.body();
    }
    try {
      JsonNode json = MAPPER.readTree(reply.body());
      return String.join("\n", reply.isRefusal() ? refusal(json) : ordered(json)) + "\n";
    } catch (JsonProcessingException malformed) {
      return reply.status() + " " + reply.body() + "\n";
    }
  }

  private static List<String> refusal(JsonNode problem) {
    return List.of(
        "Refused, " + problem.path("reason").asText() + ":", problem.path("detail").asText());
  }

  private static List<String> ordered(JsonNode answer) {
    List<String> lines = new ArrayList<>();
    String revision =
        answer.has("revision") ? ", revision " + answer.path("revision").asLong() : "";
    lines.add(
        answer.path("state").asText()
            + revision
            + " (order "
            + answer.path("order").asText()
            + ")");
    answer.path("details").forEach(detail -> lines.add("  " + detail.asText()));
    if (answer.has("inForce")) {
      lines.add(inForce(answer.path("inForce")));
    }
    return lines;
  }

  private static String inForce(JsonNode inForce) {
    List<String> lagging = new ArrayList<>();
    for (JsonNode each : inForce.path("lagging")) {
      String known =
          each.has("revision") ? "revision " + each.path("revision").asLong() : "no answer";
      lagging.add(each.path("host").asText() + " (" + known + ")");
    }
    String named = lagging.isEmpty() ? "" : "; not on " + String.join(", ", lagging);
    return "in force on "
        + inForce.path("daemons").asInt()
        + " of "
        + inForce.path("of").asInt()
        + named;
  }
}
