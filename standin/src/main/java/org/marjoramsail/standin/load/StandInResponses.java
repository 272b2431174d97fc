package org.marjoramsail.standin.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.standin.engine.TokenText;

/** What the project's own stand-ins answer. */
public final class StandInResponses implements ExpectedResponse {

  private final ObjectMapper mapper = new ObjectMapper();

  @Override
  public List<String> completion(PlannedRequest request) {
    String prompt = request.prompt().map(Prompt::text).orElse("");
    String text = TokenText.completion(prompt, request.maximumTokens());
    return Arrays.stream(text.split(" ")).map(token -> token + " ").toList();
  }

  @Override
  public boolean isPlainAnswer(PlannedRequest request, Optional<String> requestId, String body) {
    try {
      JsonNode answer = mapper.readTree(body);
      if (request.body().isEmpty()) {
        return requestId.isPresent() && requestId.get().equals(answer.path("request").asText());
      }
      return request.reference().equals(answer.path("reference").asText());
    } catch (JsonProcessingException malformed) {
      return false;
    }
  }
}
