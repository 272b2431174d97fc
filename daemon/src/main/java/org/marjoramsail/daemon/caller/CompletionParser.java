package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.marjoramsail.core.failure.RefusalReason;

/**
 * Parses the JSON of completion requests; each refusal names the field, its value and the allowed
 * values.
 */
final class CompletionParser {

  private static final int MAXIMUM_QUOTED_CHARACTERS = 80;

  private final ObjectMapper json;
  private final CallerLimits limits;

  CompletionParser(ObjectMapper json, CallerLimits limits) {
    this.json = json;
    this.limits = limits;
  }

  CompletionCall parse(CompletionFormat format, Buffer bytes) throws RejectedRequestException {
    JsonNode body = read(bytes);
    JsonNode model = body.path("model");
    if (!model.isTextual() || model.textValue().isBlank()) {
      throw invalid("model", model, "the name of a service");
    }
    return new CompletionCall(
        model.textValue(), format.prompt(body), maximumTokens(body), streamed(body));
  }

  private JsonNode read(Buffer bytes) throws RejectedRequestException {
    JsonNode body;
    try {
      body = json.readTree(bytes.getBytes());
    } catch (IOException malformed) {
      throw new RejectedRequestException(
          RefusalReason.MALFORMED_REQUEST,
          "The body is not JSON (" + firstLine(malformed.getMessage()) + "); allowed: an object.");
    }
    if (!body.isObject()) {
      throw invalid("body", body, "an object");
    }
    return body;
  }

  private int maximumTokens(JsonNode body) throws RejectedRequestException {
    String field = body.has("max_completion_tokens") ? "max_completion_tokens" : "max_tokens";
    JsonNode value = body.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return limits.defaultOutputTokens();
    }
    boolean allowed =
        value.isIntegralNumber()
            && value.canConvertToInt()
            && value.intValue() >= 1
            && value.intValue() <= limits.maximumOutputTokens();
    if (!allowed) {
      throw invalid(field, value, "an integer from 1 to " + limits.maximumOutputTokens());
    }
    return value.intValue();
  }

  private static boolean streamed(JsonNode body) throws RejectedRequestException {
    JsonNode value = body.path("stream");
    if (value.isMissingNode() || value.isNull()) {
      return false;
    }
    if (!value.isBoolean()) {
      throw invalid("stream", value, "true or false");
    }
    return value.booleanValue();
  }

  static RejectedRequestException invalid(String field, JsonNode value, String allowed) {
    String quotedValue = value.isMissingNode() ? "missing" : shortened(value.toString());
    return new RejectedRequestException(
        RefusalReason.MALFORMED_REQUEST,
        "The field " + field + " is " + quotedValue + "; allowed: " + allowed + ".");
  }

  private static String shortened(String value) {
    return value.length() <= MAXIMUM_QUOTED_CHARACTERS
        ? value
        : value.substring(0, MAXIMUM_QUOTED_CHARACTERS) + "...";
  }

  private static String firstLine(String message) {
    return shortened(message.lines().findFirst().orElse(""));
  }
}
