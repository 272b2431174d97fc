package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerResponse;
import java.util.function.Consumer;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.daemon.connection.ForcedClose;
import org.marjoramsail.daemon.request.CallerSink;
import org.marjoramsail.daemon.upstream.PlainResponse;

/**
 * Streams a completion as server-sent events, one for each token.
 *
 * <p>Guards against a reader that reads nothing, whose output would fill memory and hold an
 * engine's slot: buffered output is limited in bytes and in time, and over a limit the request is
 * ended and the connection closed. An engine never waits for a reader.
 */
final class StreamSink implements CallerSink {

  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final HttpConnection connection;
  private final HttpServerResponse response;
  private final RequestId request;
  private final CompletionFormat format;
  private final String model;
  private final ObjectMapper json;
  private final ProblemWriter problems;
  private final CallerLimits limits;
  private final Consumer<Refusal> slowReaderListener;
  private long bufferedBytes;
  private long stallTimer = NO_TIMER;
  private boolean ended;

  StreamSink(
      Vertx vertx,
      HttpConnection connection,
      HttpServerResponse response,
      RequestId request,
      CompletionFormat format,
      String model,
      ObjectMapper json,
      ProblemWriter problems,
      CallerLimits limits,
      Consumer<Refusal> slowReaderListener) {
    this.vertx = vertx;
    this.connection = connection;
    this.response = response;
    this.request = request;
    this.format = format;
    this.model = model;
    this.json = json;
    this.problems = problems;
    this.limits = limits;
    this.slowReaderListener = slowReaderListener;
  }

  @Override
  public void token(int attempt, int index, String text) {
    if (!response.headWritten()) {
      response.setChunked(true);
      response.putHeader("content-type", "text/event-stream");
      response.putHeader("cache-control", "no-cache");
    }
    write("data: " + format.chunk(json, request, model, text) + "\n\n");
  }

  @Override
  public void complete(Completion completion) {
    if (!response.headWritten()) {
      response.setChunked(true);
      response.putHeader("content-type", "text/event-stream");
    }
    write("data: " + format.lastChunk(json, request, model, completion.finishReason()) + "\n\n");
    write("data: [DONE]\n\n");
    finish();
  }

  @Override
  public void respond(PlainResponse plainResponse) {
    throw new IllegalStateException("A plain service does not answer a completion.");
  }

  @Override
  public void refuse(Refusal refusal) {
    if (refusal.reason() == RefusalReason.SLOW_READER) {
      ended = true;
      cancelTimer();
      ForcedClose.close(connection);
    } else if (response.headWritten()) {
      write("event: error\ndata: " + problems.document(request, refusal) + "\n\n");
      finish();
    } else if (!response.closed()) {
      problems.write(response, request, refusal);
      ended = true;
    }
  }

  private void write(String event) {
    if (ended || response.closed()) {
      return;
    }
    Buffer bytes = Buffer.buffer(event);
    bufferedBytes += bytes.length();
    response.write(bytes).onComplete(done -> written(bytes.length()));
    if (bufferedBytes > limits.maximumBufferedBytes()) {
      endSlowReader(bufferedBytes + " bytes wait for the reader; allowed: ");
    } else if (response.writeQueueFull() && stallTimer == NO_TIMER) {
      stallTimer = vertx.setTimer(limits.slowReaderMillis(), fired -> stalled());
      response.drainHandler(drained -> cancelTimer());
    }
  }

  private void written(int bytes) {
    bufferedBytes -= bytes;
  }

  private void stalled() {
    stallTimer = NO_TIMER;
    if (!ended) {
      endSlowReader("The reader took nothing in time; bytes that may wait: ");
    }
  }

  private void endSlowReader(String detail) {
    ended = true;
    cancelTimer();
    slowReaderListener.accept(
        Refusal.unknown(RefusalReason.SLOW_READER, detail + limits.maximumBufferedBytes() + "."));
  }

  /** Ends the stream. If the reader was too slow, the rest of the stream is discarded. */
  private void finish() {
    if (ended) {
      ForcedClose.close(connection);
    } else if (!response.closed()) {
      ended = true;
      response.end().onComplete(done -> cancelTimer());
    }
  }

  private void cancelTimer() {
    if (stallTimer != NO_TIMER) {
      vertx.cancelTimer(stallTimer);
      stallTimer = NO_TIMER;
    }
  }
}
