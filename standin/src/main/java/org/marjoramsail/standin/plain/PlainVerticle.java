package org.marjoramsail.standin.plain;

import io.vertx.core.Handler;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.standin.server.Json;
import org.marjoramsail.standin.server.LoadStatus;
import org.marjoramsail.standin.server.ScaledTime;
import org.marjoramsail.standin.server.UpstreamVerticle;

/** Everything of a plain service that runs on its own Vert.x context. */
final class PlainVerticle extends UpstreamVerticle {

  private static final String REQUEST_HEADER = "marjoramsail-request";
  private static final String RUN_HEADER = "marjoramsail-run";
  private static final String STATUS_PATH = "/-/status";
  private static final String JSON_TYPE = "application/json";
  private static final int UNAVAILABLE = 503;

  /** Assumed: how long a crashed process takes to come back. */
  private static final long RESTART_MILLIS = 500;

  /** The fields of a body that name what must not be done twice. */
  private record NamedBody(Optional<String> ballot, Optional<String> reference) {
    Optional<String> name() {
      return ballot.or(() -> reference);
    }
  }

  private record AnswerBody(
      String service, Optional<String> request, Optional<String> reference, int runs) {}

  private record RefusalBody(String reason, String run) {}

  private final PlainSettings settings;
  private final PlainFaults faults;
  private final PlainBook book;
  private final Json json = new Json();
  private PlainSlots<PlainCall> slots;

  PlainVerticle(PlainSettings settings, ScaledTime time, PlainFaults faults, PlainBook book) {
    super(time, frame(settings));
    this.settings = settings;
    this.faults = faults;
    this.book = book;
  }

  private static Frame frame(PlainSettings settings) {
    return new Frame(
        settings.address(),
        settings.port(),
        settings.reportEveryMillis(),
        settings.reportEveryMillis(),
        settings.reportLagMillis(),
        1);
  }

  @Override
  protected Handler<HttpServerRequest> makeHandler() {
    return this::handle;
  }

  @Override
  protected void incarnate(long newIncarnation) {
    book.incarnated(newIncarnation);
    slots = new PlainSlots<>(settings.slots(), settings.queueLimit());
  }

  @Override
  protected void lose() {
    slots = new PlainSlots<>(settings.slots(), settings.queueLimit());
    book.lost();
  }

  @Override
  protected void crashed() {
    book.crashed();
  }

  /** Each call has its own timer. */
  @Override
  protected boolean isIdle() {
    return true;
  }

  @Override
  protected void tick() {}

  @Override
  protected LoadStatus currentStatus(long ofIncarnation) {
    return new LoadStatus(
        settings.name(),
        ofIncarnation,
        UpstreamRole.PLAIN.name(),
        "",
        "",
        List.of(),
        settings.slots(),
        slots.running(),
        slots.waiting(),
        0,
        0,
        faults.isLeaving(),
        0,
        0);
  }

  private void handle(HttpServerRequest request) {
    if (request.path().equals(STATUS_PATH)) {
      answer(request.response(), visibleStatus());
    } else {
      request.body().onSuccess(body -> accept(request, body));
    }
  }

  private void accept(HttpServerRequest request, Buffer body) {
    HttpServerResponse response = request.response();
    if (faults.isRefusing() || faults.isLeaving()) {
      refuse(response, faults.isLeaving() ? "leaving" : "refusing");
      return;
    }
    PlainCall call =
        new PlainCall(
            Optional.ofNullable(request.getHeader(REQUEST_HEADER)),
            json.read(body, NamedBody.class).flatMap(NamedBody::name),
            faults.draw(),
            response);
    if (!slots.offer(call)) {
      refuse(response, "full");
      return;
    }
    book.accepted(settings.slots());
    response.closeHandler(closed -> withdraw(call));
    beginNext();
  }

  private void withdraw(PlainCall call) {
    if (slots.withdraw(call)) {
      book.released();
    }
  }

  private void beginNext() {
    PlainSlots<PlainCall> current = slots;
    Optional<PlainCall> next = current.begin();
    if (next.isPresent()) {
      long millis = Math.max(1, Math.round(settings.serviceMillis() * faults.slowness()));
      vertx.setTimer(millis, timer -> finish(next.get(), current));
    }
  }

  private void finish(PlainCall call, PlainSlots<PlainCall> began) {
    long stalled = time.stalledForMillis();
    if (began != slots || !isUp()) {
      return;
    }
    if (stalled > 0) {
      vertx.setTimer(stalled, timer -> finish(call, began));
      return;
    }
    slots.end(call);
    book.released();
    call.fault().ifPresentOrElse(fault -> fail(call, fault), () -> run(call));
    if (isUp()) {
      beginNext();
    }
  }

  private void run(PlainCall call) {
    int runs = book.ran(call.request(), call.reference());
    if (call.isWanted()) {
      answer(
          call.response(), new AnswerBody(settings.name(), call.request(), call.reference(), runs));
    } else {
      book.answerLost();
    }
  }

  private void fail(PlainCall call, PlainFault fault) {
    if (fault.isRunning()) {
      book.ran(call.request(), call.reference());
      book.answerLost();
    }
    if (fault.isCrashing()) {
      crash(OptionalLong.of(RESTART_MILLIS));
    } else if (call.isWanted()) {
      call.response().reset();
    }
  }

  private void refuse(HttpServerResponse response, String reason) {
    book.refused();
    response.setStatusCode(UNAVAILABLE).putHeader(RUN_HEADER, RunState.NOT_RUN.code());
    answer(response, new RefusalBody(reason, RunState.NOT_RUN.code()));
  }

  private void answer(HttpServerResponse response, Object body) {
    response.putHeader("content-type", JSON_TYPE).end(json.write(body));
  }
}
