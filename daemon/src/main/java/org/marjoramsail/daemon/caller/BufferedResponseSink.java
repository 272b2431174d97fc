package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.http.HttpServerResponse;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.daemon.request.CallerSink;
import org.marjoramsail.daemon.upstream.PlainResponse;

/** Sends one document: a completion that is not streamed, or the response of a plain service. */
final class BufferedResponseSink implements CallerSink {

  private final HttpServerResponse response;
  private final RequestId request;
  private final CompletionFormat format;
  private final String model;
  private final ObjectMapper json;
  private final ProblemWriter problems;
  private final StringBuilder text = new StringBuilder();

  BufferedResponseSink(
      HttpServerResponse response,
      RequestId request,
      CompletionFormat format,
      String model,
      ObjectMapper json,
      ProblemWriter problems) {
    this.response = response;
    this.request = request;
    this.format = format;
    this.model = model;
    this.json = json;
    this.problems = problems;
  }

  @Override
  public void token(int attempt, int index, String chunk) {
    text.append(chunk);
  }

  @Override
  public void complete(Completion completion) {
    if (!response.ended() && !response.closed()) {
      response.putHeader("content-type", "application/json");
      response.end(format.response(json, request, model, text.toString(), completion).toString());
    }
  }

  @Override
  public void respond(PlainResponse plainResponse) {
    if (!response.ended() && !response.closed()) {
      response.setStatusCode(plainResponse.status());
      plainResponse
          .headers()
          .forEach(header -> response.headers().add(header.getKey(), header.getValue()));
      response.end(plainResponse.body());
    }
  }

  @Override
  public void refuse(Refusal refusal) {
    if (!response.ended() && !response.closed()) {
      problems.write(response, request, refusal);
    }
  }
}
