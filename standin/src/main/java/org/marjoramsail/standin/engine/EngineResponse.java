package org.marjoramsail.standin.engine;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.marjoramsail.standin.server.Json;

/** The answer to a prefill or a decode, written as the model goes along. */
final class EngineResponse implements AttemptSink {

  private static final String NDJSON = "application/x-ndjson";
  private static final byte NEWLINE = '\n';

  private final AttemptKey key;
  private final HttpServerResponse response;
  private final Json json;
  private final KvFetcher fetcher;
  private final EngineTimings timings;
  private Buffer unsent = Buffer.buffer();
  private boolean streaming;
  private boolean complete;

  EngineResponse(
      AttemptKey key,
      HttpServerResponse response,
      Json json,
      KvFetcher fetcher,
      EngineTimings timings) {
    this.key = key;
    this.response = response;
    this.json = json;
    this.fetcher = fetcher;
    this.timings = timings;
  }

  @Override
  public void fetchKv(HeldAttempt attempt, KvSource source) {
    fetcher.fetch(attempt, source);
  }

  @Override
  public void promptRead(HeldAttempt attempt, String handle, long tookMicros) {
    long tookMillis = Math.round(tookMicros / 1_000.0);
    unsent.appendBuffer(
        json.write(
            new EngineBodies.PrefillDoneBody(
                handle,
                attempt.prompt.tokens(),
                attempt.cachedTokens,
                timings.realMillis(tookMillis),
                timings.realMillis(timings.kvLifetimeMillis()))));
    complete = true;
  }

  @Override
  public void token(int index, String text) {
    append(new EngineBodies.TokenFrame(key.request(), key.attempt(), index, text));
  }

  @Override
  public void finished(HeldAttempt attempt, int index) {
    append(
        new EngineBodies.DoneFrame(
            key.request(),
            key.attempt(),
            index,
            true,
            attempt.isCutByLength() ? "length" : "stop",
            attempt.prompt.tokens(),
            attempt.cachedTokens));
    complete = true;
  }

  private void append(Object frame) {
    streaming = true;
    unsent.appendBuffer(json.write(frame)).appendByte(NEWLINE);
  }

  @Override
  public void refused(EngineRefusal refusal) {
    if (response.closed() || response.ended()) {
      return;
    }
    if (response.headWritten()) {
      response.reset();
    } else {
      EngineHttp.refuse(response, json, refusal);
    }
  }

  @Override
  public void flush() {
    if (response.closed() || response.ended()) {
      return;
    }
    if (streaming && !response.headWritten()) {
      response.setChunked(true).putHeader("content-type", NDJSON);
    }
    Buffer sending = unsent;
    unsent = Buffer.buffer();
    if (complete) {
      response.end(sending);
    } else if (sending.length() > 0) {
      response.write(sending);
    }
  }
}
