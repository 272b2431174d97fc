package org.marjoramsail.standin.load;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;

/**
 * Sorts what comes back for one request into its end. Runs on one event loop; the first end holds,
 * except that a second answer after a whole one is still seen.
 */
final class Exchange {

  private static final String PROBLEM = "application/problem+json";
  private static final String EVENT_STREAM = "text/event-stream";
  private static final String REQUEST_HEADER = "marjoramsail-request";
  private static final String DONE = "[DONE]";
  private static final String ERROR_EVENT = "error";
  private static final int FIRST_ERROR_STATUS = 400;

  private final PlannedRequest request;
  private final ExpectedResponse expected;
  private final ObjectMapper mapper;
  private final LongSupplier sincePlanned;
  private final CompletionCheck check;

  private Optional<String> target = Optional.empty();
  private long sentMillis;
  private Optional<Long> firstTokenMillis = Optional.empty();
  private Optional<String> requestId = Optional.empty();
  private Optional<RequestOutcome> outcome = Optional.empty();
  private boolean doneSeen;

  Exchange(
      PlannedRequest request,
      ExpectedResponse expected,
      ObjectMapper mapper,
      LongSupplier sincePlanned) {
    this.request = request;
    this.expected = expected;
    this.mapper = mapper;
    this.sincePlanned = sincePlanned;
    this.check =
        new CompletionCheck(
            request.kind().isGeneration() ? expected.completion(request) : List.of());
  }

  Optional<RequestOutcome> outcome() {
    return outcome;
  }

  void sending(LoadTarget to) {
    target = Optional.of(to.name());
    sentMillis = sincePlanned.getAsLong();
  }

  /** Reads a response; {@code ended} is called once its last byte, or its failure, was seen. */
  void read(HttpClientResponse response, Runnable ended) {
    requestId = Optional.ofNullable(response.getHeader(REQUEST_HEADER));
    response.exceptionHandler(
        failure -> {
          end(RequestEnd.CUT, "the connection broke after " + check.progress());
          ended.run();
        });
    if (isStream(response)) {
      EventStreamReader events = new EventStreamReader(this::event);
      response.handler(events::accept);
      response.endHandler(
          nothing -> {
            streamEnded();
            ended.run();
          });
      return;
    }
    Buffer body = Buffer.buffer();
    response.handler(body::appendBuffer);
    response.endHandler(
        nothing -> {
          bodyEnded(response, body.toString());
          ended.run();
        });
  }

  void end(RequestEnd kind, String detail) {
    end(kind, Optional.empty(), Optional.empty(), detail);
  }

  private static boolean isStream(HttpClientResponse response) {
    String type = response.getHeader("content-type");
    return response.statusCode() < FIRST_ERROR_STATUS
        && type != null
        && type.startsWith(EVENT_STREAM);
  }

  private void event(String name, String data) {
    if (ERROR_EVENT.equals(name)) {
      problem(RequestEnd.FAILED, data);
    } else if (DONE.equals(data)) {
      done();
    } else if (doneSeen) {
      twice("a frame came after the end of the stream");
    } else {
      frame(data);
    }
  }

  private void done() {
    if (doneSeen) {
      twice("the stream ended twice");
      return;
    }
    doneSeen = true;
    if (check.isWhole()) {
      end(RequestEnd.COMPLETED, "");
    } else {
      end(RequestEnd.WRONG, "said to be whole after " + check.progress());
    }
  }

  private void frame(String data) {
    try {
      String text = CompletionCheck.text(mapper.readTree(data));
      if (!text.isEmpty() && firstTokenMillis.isEmpty()) {
        firstTokenMillis = Optional.of(sincePlanned.getAsLong());
      }
      judge(check.accept(text), text);
    } catch (JsonProcessingException malformed) {
      end(RequestEnd.WRONG, "not JSON: " + data);
    }
  }

  private void judge(CompletionCheck.Verdict verdict, String text) {
    switch (verdict) {
      case WRONG -> end(RequestEnd.WRONG, "'%s' after %s".formatted(text, check.progress()));
      case REPEATED -> twice("'%s' again after %s".formatted(text, check.progress()));
      case RIGHT -> {
        // Nothing to say until the answer is whole.
      }
    }
  }

  private void streamEnded() {
    if (!doneSeen) {
      end(RequestEnd.CUT, "the stream stopped after " + check.progress());
    }
  }

  private void bodyEnded(HttpClientResponse response, String body) {
    String type = Optional.ofNullable(response.getHeader("content-type")).orElse("");
    if (type.startsWith(PROBLEM)) {
      problem(RequestEnd.REFUSED, body);
    } else if (response.statusCode() >= FIRST_ERROR_STATUS) {
      end(RequestEnd.UNTYPED, "status " + response.statusCode());
    } else if (request.kind().isGeneration()) {
      wholeCompletion(body);
    } else {
      plainAnswer(body);
    }
  }

  private void wholeCompletion(String body) {
    frame(body);
    if (outcome.isEmpty()) {
      done();
    }
  }

  private void plainAnswer(String body) {
    if (expected.isPlainAnswer(request, requestId, body)) {
      end(RequestEnd.COMPLETED, "");
    } else {
      end(RequestEnd.WRONG, "not the answer to " + request.reference() + ": " + body);
    }
  }

  private void problem(RequestEnd kind, String json) {
    try {
      JsonNode problem = mapper.readTree(json);
      Optional<String> reason = textOf(problem, "reason");
      if (reason.isEmpty()) {
        end(RequestEnd.UNTYPED, json);
        return;
      }
      end(kind, reason, textOf(problem, "run"), problem.path("detail").asText(""));
    } catch (JsonProcessingException malformed) {
      end(RequestEnd.UNTYPED, json);
    }
  }

  private static Optional<String> textOf(JsonNode problem, String field) {
    return Optional.ofNullable(problem.path(field).textValue());
  }

  /** Counts even after a whole answer, which is when a second one would come. */
  private void twice(String detail) {
    outcome = Optional.empty();
    end(RequestEnd.ANSWERED_TWICE, detail);
  }

  private void end(RequestEnd kind, Optional<String> reason, Optional<String> run, String detail) {
    if (outcome.isPresent()) {
      return;
    }
    outcome =
        Optional.of(
            new RequestOutcome(
                request,
                kind,
                reason,
                run,
                requestId,
                target,
                sentMillis,
                firstTokenMillis,
                sincePlanned.getAsLong(),
                check.tokens(),
                detail));
  }
}
