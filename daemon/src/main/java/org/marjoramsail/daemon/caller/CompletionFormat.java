package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.Completion;

/** The two shapes in which callers ask for text and get it. */
enum CompletionFormat {
  COMPLETION("/v1/completions", "text_completion", "text_completion") {
    @Override
    String prompt(JsonNode body) throws RejectedRequestException {
      JsonNode prompt = body.path("prompt");
      if (!prompt.isTextual() || prompt.textValue().isBlank()) {
        throw CompletionParser.wrong("prompt", prompt, "a string that is not blank");
      }
      return prompt.textValue();
    }

    @Override
    void putWhole(ObjectNode choice, String text) {
      choice.put("text", text);
    }

    @Override
    void putPart(ObjectNode choice, String text) {
      choice.put("text", text);
    }
  },
  CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk") {
    @Override
    String prompt(JsonNode body) throws RejectedRequestException {
      JsonNode messages = body.path("messages");
      if (!messages.isArray() || messages.isEmpty()) {
        throw CompletionParser.wrong("messages", messages, "an array with at least one message");
      }
      List<String> lines = new ArrayList<>();
      for (JsonNode message : messages) {
        lines.add(line(message));
      }
      return String.join(" ", lines);
    }

    private String line(JsonNode message) throws RejectedRequestException {
      JsonNode role = message.path("role");
      JsonNode content = message.path("content");
      if (!role.isTextual()) {
        throw CompletionParser.wrong("messages[].role", role, "a string");
      }
      if (!content.isTextual()) {
        throw CompletionParser.wrong("messages[].content", content, "a string");
      }
      return role.textValue() + ": " + content.textValue();
    }

    @Override
    void putWhole(ObjectNode choice, String text) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    }

    @Override
    void putPart(ObjectNode choice, String text) {
      ObjectNode delta = choice.putObject("delta");
      if (!text.isEmpty()) {
        delta.put("content", text);
      }
    }
  };

  private final String path;
  private final String wholeObject;
  private final String partObject;

  CompletionFormat(String path, String wholeObject, String partObject) {
    this.path = path;
    this.wholeObject = wholeObject;
    this.partObject = partObject;
  }

  /** The path on which callers ask in this format. */
  String path() {
    return path;
  }

  /** Reads the prompt of a request body. */
  abstract String prompt(JsonNode body) throws RejectedRequestException;

  abstract void putWhole(ObjectNode choice, String text);

  abstract void putPart(ObjectNode choice, String text);

  /** The whole answer. */
  ObjectNode whole(
      ObjectMapper json, RequestId request, String model, String text, Completion completion) {
    ObjectNode answer = head(json, request, model, wholeObject);
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    putWhole(choice, text);
    choice.put("finish_reason", completion.finishReason());
    ObjectNode usage = answer.putObject("usage");
    usage.put("prompt_tokens", completion.promptTokens());
    usage.put("completion_tokens", completion.outputTokens());
    usage.put("total_tokens", completion.promptTokens() + completion.outputTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", completion.cachedTokens());
    return answer;
  }

  /** One token of a streamed answer. */
  ObjectNode part(ObjectMapper json, RequestId request, String model, String text) {
    ObjectNode answer = head(json, request, model, partObject);
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    putPart(choice, text);
    choice.putNull("finish_reason");
    return answer;
  }

  /** The last event of a whole streamed answer. */
  ObjectNode lastPart(ObjectMapper json, RequestId request, String model, String finishReason) {
    ObjectNode answer = head(json, request, model, partObject);
    ObjectNode choice = answer.putArray("choices").addObject().put("index", 0);
    putPart(choice, "");
    choice.put("finish_reason", finishReason);
    return answer;
  }

  private static ObjectNode head(
      ObjectMapper json, RequestId request, String model, String object) {
    return json.createObjectNode()
        .put("id", request.value())
        .put("object", object)
        .put("model", model);
  }
}
