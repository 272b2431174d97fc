package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.Completion;

/** Formats of completion requests and responses. */
enum CompletionFormat {
  COMPLETION("/v1/completions", "text_completion", "text_completion") {
    @Override
    String prompt(JsonNode body) throws RejectedRequestException {
      JsonNode prompt = body.path("prompt");
      if (!prompt.isTextual() || prompt.textValue().isBlank()) {
        throw CompletionParser.invalid("prompt", prompt, "a string that is not blank");
      }
      return prompt.textValue();
    }

    @Override
    void putText(ObjectNode choice, String text) {
      choice.put("text", text);
    }

    @Override
    void putChunk(ObjectNode choice, String text) {
      choice.put("text", text);
    }
  },
  CHAT("/v1/chat/completions", "chat.completion", "chat.completion.chunk") {
    @Override
    String prompt(JsonNode body) throws RejectedRequestException {
      JsonNode messages = body.path("messages");
      if (!messages.isArray() || messages.isEmpty()) {
        throw CompletionParser.invalid("messages", messages, "an array with at least one message");
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
        throw CompletionParser.invalid("messages[].role", role, "a string");
      }
      if (!content.isTextual()) {
        throw CompletionParser.invalid("messages[].content", content, "a string");
      }
      return role.textValue() + ": " + content.textValue();
    }

    @Override
    void putText(ObjectNode choice, String text) {
      choice.putObject("message").put("role", "assistant").put("content", text);
    }

    @Override
    void putChunk(ObjectNode choice, String text) {
      ObjectNode delta = choice.putObject("delta");
      if (!text.isEmpty()) {
        delta.put("content", text);
      }
    }
  };

  private final String path;
  private final String responseObject;
  private final String chunkObject;

  CompletionFormat(String path, String responseObject, String chunkObject) {
    this.path = path;
    this.responseObject = responseObject;
    this.chunkObject = chunkObject;
  }

  /** Returns the path of requests in this format. */
  String path() {
    return path;
  }

  /** Returns the prompt of a request body. */
  abstract String prompt(JsonNode body) throws RejectedRequestException;

  abstract void putText(ObjectNode choice, String text);

  abstract void putChunk(ObjectNode choice, String text);

  /** Returns a complete response. */
  ObjectNode response(
      ObjectMapper json, RequestId request, String model, String text, Completion completion) {
    ObjectNode response = head(json, request, model, responseObject);
    ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
    putText(choice, text);
    choice.put("finish_reason", completion.finishReason());
    ObjectNode usage = response.putObject("usage");
    usage.put("prompt_tokens", completion.promptTokens());
    usage.put("completion_tokens", completion.outputTokens());
    usage.put("total_tokens", completion.promptTokens() + completion.outputTokens());
    usage.putObject("prompt_tokens_details").put("cached_tokens", completion.cachedTokens());
    return response;
  }

  /** Returns one chunk of a streamed response. */
  ObjectNode chunk(ObjectMapper json, RequestId request, String model, String text) {
    ObjectNode response = head(json, request, model, chunkObject);
    ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
    putChunk(choice, text);
    choice.putNull("finish_reason");
    return response;
  }

  /** Returns the last chunk of a complete streamed response. */
  ObjectNode lastChunk(ObjectMapper json, RequestId request, String model, String finishReason) {
    ObjectNode response = head(json, request, model, chunkObject);
    ObjectNode choice = response.putArray("choices").addObject().put("index", 0);
    putChunk(choice, "");
    choice.put("finish_reason", finishReason);
    return response;
  }

  private static ObjectNode head(
      ObjectMapper json, RequestId request, String model, String object) {
    return json.createObjectNode()
        .put("id", request.value())
        .put("object", object)
        .put("model", model);
  }
}
