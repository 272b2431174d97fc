package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Completion;
import org.marjoramsail.core.outcome.KvSource;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.core.routing.ForwardingRules;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.stream.StreamKey;
import org.marjoramsail.core.stream.StreamOrigin;
import org.marjoramsail.core.stream.StreamRecord;
import org.marjoramsail.daemon.request.AttemptSender;
import org.marjoramsail.daemon.request.CallerPresence;
import org.marjoramsail.daemon.request.CallerSink;
import org.marjoramsail.daemon.request.HttpCallerPresence;
import org.marjoramsail.daemon.request.OpenCall;
import org.marjoramsail.daemon.upstream.KvLocation;
import org.marjoramsail.daemon.upstream.PlainResponse;

/**
 * One forwarded request between its caller and its upstreams: sends the attempts, stores their
 * responses, and sends the selected response to the caller. Runs on one event loop.
 */
final class ForwardExchange implements AttemptSender, CallerSink {

  /** Maximum size of a plain response, in bytes: services respond with some megabytes at most. */
  private static final int MAXIMUM_BODY_BYTES = 8 << 20;

  /** Maximum size of a response that only contains a few fields, in bytes. */
  private static final int MAXIMUM_FIELDS_BYTES = 64 << 10;

  /** Maximum size of one event of a stream, in bytes: an event holds a few tokens. */
  private static final int MAXIMUM_EVENT_BYTES = 64 << 10;

  private record ResponseHead(int status, MultiMap headers) {}

  private final ForwardDependencies dependencies;
  private final ForwardedRequest request;
  private final RequestProfile profile;
  private final HttpServerRequest caller;
  private final CallerPresence presence;
  private final OptionalInt priority;
  private final boolean streaming;
  private final long streamLifetimeMillis;
  private final Map<Integer, PlainResponse> responses = new HashMap<>(2);
  private final Map<Integer, KvLocation> handles = new HashMap<>(2);
  private final Map<UpstreamName, UpstreamDefinition> targets = new HashMap<>(2);
  private final Map<Integer, ResponseHead> streamHeads = new HashMap<>(2);
  private final StreamPosition position;
  private final StreamOutput output;
  private final RunTimer runTimer;

  /**
   * Creates an exchange.
   *
   * @param priority the priority that engines are sent; empty for none
   */
  ForwardExchange(
      ForwardDependencies dependencies,
      ForwardedRequest request,
      RequestProfile profile,
      HttpServerRequest caller,
      Route route,
      OptionalInt priority) {
    this.dependencies = dependencies;
    this.position = new StreamPosition(request.parameters().resumeAfter());
    this.request = request;
    this.profile = profile;
    this.caller = caller;
    this.output = new StreamOutput(caller);
    this.runTimer = new RunTimer(dependencies.clock(), dependencies.runTimes(), profile.rule());
    this.presence = new HttpCallerPresence(caller);
    this.priority = priority;
    this.streaming = route.streaming();
    this.streamLifetimeMillis = ForwardingRules.streamLifetimeMillis(route);
  }

  @Override
  public Optional<OpenCall> sendPrefill(
      LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events) {
    Optional<UpstreamDefinition> target =
        target(send.upstream(), Optional.empty(), send.attempt(), events);
    return target.map(
        definition ->
            open(
                definition,
                Optional.empty(),
                true,
                Optional.empty(),
                OptionalInt.empty(),
                new PrefillListener(send, events, definition)));
  }

  @Override
  public Optional<OpenCall> sendDecode(
      LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events) {
    Optional<UpstreamDefinition> target =
        target(send.upstream(), send.requiredVersion(), send.attempt(), events);
    return target.map(
        definition ->
            open(
                definition,
                send.requiredVersion(),
                false,
                send.kv().flatMap(this::location),
                position.lastId(),
                new ResponseListener(send.attempt(), definition, events, send.startIndex())));
  }

  @Override
  public Optional<OpenCall> sendPlain(
      LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events) {
    Optional<UpstreamDefinition> target =
        target(send.upstream(), Optional.empty(), send.attempt(), events);
    return target.map(
        definition ->
            open(
                definition,
                Optional.empty(),
                false,
                Optional.empty(),
                OptionalInt.empty(),
                new ResponseListener(send.attempt(), definition, events, 0)));
  }

  /**
   * Cancels an attempt. Closing its call stops a running request, so that only a KV cache that
   * nobody has fetched is deleted by its handle.
   */
  @Override
  public void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events) {
    LifecycleEvent confirmed =
        new LifecycleEvent.CancelConfirmed(cancel.attempt(), cancel.upstream());
    KvLocation handle = handles.get(cancel.attempt());
    UpstreamDefinition holder = targets.get(cancel.upstream());
    boolean holdsKvCache =
        handle != null
            && holder != null
            && handle.address().equals(holder.address())
            && handle.port() == holder.port();
    if (!holdsKvCache) {
      events.accept(confirmed);
      return;
    }
    String path = dependencies.protocol().handlePath(handle.handle());
    ForwardedRequest dropRequest = KvDeletion.request(path, request);
    ForwardCall unused =
        call(
                holder,
                dropRequest,
                Optional::empty,
                new KvDeletion(dependencies, holder, () -> events.accept(confirmed)))
            .start(dropRequest.headers())
            .closeAfter(KvDeletion.TIMEOUT_MILLIS);
  }

  /** Records the origin of a stream that its caller may resume, by the attempt that began it. */
  @Override
  public void recordVersion(LifecycleAction.RecordVersion recorded) {
    String attempt = request.parameters().resumes().orElse(request.parameters().attempt());
    if (!profile.repeatability().isResendable() || attempt.isEmpty()) {
      return;
    }
    dependencies
        .streams()
        .add(
            new StreamRecord(
                StreamKey.of(profile.organisation(), attempt),
                new StreamOrigin(profile.service(), recorded.version()),
                streamLifetimeMillis));
  }

  @Override
  public void deliver(int attempt) {
    Optional.ofNullable(responses.get(attempt)).ifPresent(this::respond);
  }

  @Override
  public void token(int attempt, int index, String text) {
    position.sent(index);
    HttpServerResponse response = caller.response();
    if (response.closed() || response.ended()) {
      return;
    }
    if (!response.headWritten()) {
      ResponseHead head = streamHeads.get(attempt);
      response.setStatusCode(head.status());
      response.headers().addAll(head.headers());
      response.setChunked(true);
      dependencies.connectionCloseHeader().addIfStopping(response);
    }
    output.write(bytesOf(text));
  }

  /** Returns the bytes of text that holds one character per byte. */
  private static Buffer bytesOf(String text) {
    return Buffer.buffer(text.getBytes(StandardCharsets.ISO_8859_1));
  }

  @Override
  public void complete(Completion completion) {
    HttpServerResponse response = caller.response();
    if (response.closed() || response.ended()) {
      return;
    }
    response.end(bytesOf(completion.trailingText()));
    dependencies
        .completionListener()
        .completed(profile, request.parameters().outputTokens(), completion.outputTokens());
  }

  @Override
  public void respond(PlainResponse plainResponse) {
    HttpServerResponse response = caller.response();
    if (response.closed() || response.ended()) {
      return;
    }
    response.setStatusCode(plainResponse.status());
    response.headers().addAll(plainResponse.headers());
    dependencies.connectionCloseHeader().addIfStopping(response);
    response.end(plainResponse.body());
  }

  @Override
  public void refuse(Refusal refusal) {
    dependencies.refusals().write(caller, request.parameters().attempt(), refusal);
  }

  private Optional<UpstreamDefinition> target(
      UpstreamName upstream,
      Optional<SoftwareVersion> requiredVersion,
      int attempt,
      Consumer<LifecycleEvent> events) {
    Optional<UpstreamFailure> rejection =
        UpstreamRejection.of(dependencies, upstream, requiredVersion);
    if (rejection.isPresent()) {
      events.accept(new LifecycleEvent.UpstreamFailed(attempt, upstream, rejection.get()));
      return Optional.empty();
    }
    Optional<UpstreamDefinition> accepting = dependencies.upstreams().apply(upstream);
    accepting.ifPresent(definition -> targets.put(upstream, definition));
    return accepting;
  }

  /** Returns why a request is not written to a connection that was opened for it. */
  private Optional<UpstreamFailure> obstacle(
      UpstreamName upstream, Optional<SoftwareVersion> requiredVersion) {
    if (UpstreamRejection.of(dependencies, upstream, requiredVersion).isPresent()) {
      return Optional.of(UpstreamFailure.NOT_ACCEPTING);
    }
    return presence.isPresent() ? Optional.empty() : Optional.of(UpstreamFailure.CALLER_LEFT);
  }

  private Optional<KvLocation> location(KvSource source) {
    return Optional.ofNullable(handles.get(source.attempt()));
  }

  private OpenCall open(
      UpstreamDefinition target,
      Optional<SoftwareVersion> requiredVersion,
      boolean prefill,
      Optional<KvLocation> kv,
      OptionalInt resumeAfter,
      ForwardCall.Listener listener) {
    runTimer.started();
    MultiMap headers = MultiMap.caseInsensitiveMultiMap().addAll(request.headers());
    headers.set("host", request.host());
    long remainingMillis = Math.max(1, profile.deadlineAtMillis() - dependencies.clock().millis());
    dependencies
        .protocol()
        .addParameters(
            headers,
            new ForwardParameters(
                target.name(),
                remainingMillis,
                prefill,
                kv,
                resumeAfter,
                request.organisation(),
                priority));
    return call(target, request, () -> obstacle(target.name(), requiredVersion), listener)
        .start(headers);
  }

  private ForwardCall call(
      UpstreamDefinition target,
      ForwardedRequest sent,
      Supplier<Optional<UpstreamFailure>> obstacle,
      ForwardCall.Listener listener) {
    return new ForwardCall(
        dependencies.connections(),
        dependencies.calls(),
        dependencies.protocol(),
        target,
        sent,
        obstacle,
        listener);
  }

  /** Returns the failure that a response reports if it does not serve the request. */
  private static UpstreamFailure failureOf(ResponseDisposition disposition) {
    return switch (disposition) {
      case FULL -> UpstreamFailure.FULL;
      case MISDIRECTED -> UpstreamFailure.REFUSED;
      default -> UpstreamFailure.MALFORMED;
    };
  }

  private Optional<UpstreamFailure> exceeded(ResponseBound bound) {
    dependencies.calls().exceeded(bound);
    return Optional.of(UpstreamFailure.EXCESSIVE);
  }

  /** Buffers the body of a response. */
  private abstract class BufferingListener implements ForwardCall.Listener {
    private final Buffer body = Buffer.buffer();
    private final BufferedBytes.Share share = dependencies.bufferedBytes().open();
    private final int attempt;
    private final UpstreamDefinition upstream;
    private final Consumer<LifecycleEvent> events;
    private final long sentAtMillis = dependencies.clock().millis();

    BufferingListener(int attempt, UpstreamDefinition upstream, Consumer<LifecycleEvent> events) {
      this.attempt = attempt;
      this.upstream = upstream;
      this.events = events;
    }

    int attempt() {
      return attempt;
    }

    UpstreamDefinition upstream() {
      return upstream;
    }

    Buffer body() {
      return body;
    }

    void emit(LifecycleEvent event) {
      events.accept(event);
    }

    @Override
    public final void end() {
      if (JoinedResponse.isBodyJoined(body, dependencies.protocol().attemptHeader())) {
        failed(UpstreamFailure.MALFORMED);
      } else {
        endWhole();
      }
    }

    /** Handles the end of a response that is not joined with another one. */
    abstract void endWhole();

    /**
     * Records that the upstream responded, and its feedback, unless a different upstream may have
     * responded at its address.
     */
    void recordResponse(ResponseDisposition disposition, int status, MultiMap headers) {
      if (disposition != ResponseDisposition.MISDIRECTED) {
        dependencies.liveness().responded(upstream.incarnation(), sentAtMillis);
        dependencies.probes().responded(upstream);
        dependencies
            .feedback()
            .recordFeedback(upstream, dependencies.protocol().feedbackOf(status, headers));
      }
    }

    long elapsedMillis() {
      return dependencies.clock().millis() - sentAtMillis;
    }

    /** Returns the maximum size of the body, in bytes. */
    abstract int maximumBytes();

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      if (body.length() + bytes.length() > maximumBytes()) {
        return exceeded(ResponseBound.BODY_BYTES);
      }
      if (!share.add(bytes.length())) {
        return exceeded(ResponseBound.BUFFERED_BYTES);
      }
      body.appendBuffer(bytes);
      return Optional.empty();
    }

    @Override
    public void closed() {
      share.release();
    }

    @Override
    public void failed(UpstreamFailure failure) {
      emit(new LifecycleEvent.UpstreamFailed(attempt, upstream.name(), failure));
      if (failure.mayBeCrash()) {
        dependencies.probes().connectionCut(upstream);
      }
    }
  }

  private final class PrefillListener extends BufferingListener {
    private ResponseDisposition disposition = ResponseDisposition.UNKNOWN;

    PrefillListener(
        LifecycleAction.SendPrefill send,
        Consumer<LifecycleEvent> events,
        UpstreamDefinition upstream) {
      super(send.attempt(), upstream, events);
    }

    @Override
    int maximumBytes() {
      return MAXIMUM_FIELDS_BYTES;
    }

    @Override
    public boolean head(int status, MultiMap headers) {
      disposition =
          dependencies
              .protocol()
              .dispositionOf(status, headers, request.parameters().attempt(), true);
      if (disposition == ResponseDisposition.INVALID) {
        failed(UpstreamFailure.MALFORMED);
        return false;
      }
      recordResponse(disposition, status, headers);
      return true;
    }

    @Override
    void endWhole() {
      Optional<PrefilledPrompt> prefilled =
          disposition == ResponseDisposition.SERVED
              ? dependencies.protocol().prefilledPrompt(body())
              : Optional.empty();
      if (prefilled.isEmpty()) {
        failed(failureOf(disposition));
        return;
      }
      handles.put(
          attempt(),
          new KvLocation(upstream().address(), upstream().port(), prefilled.get().handle()));
      emit(
          new LifecycleEvent.Prefilled(
              attempt(),
              prefilled.get().handle(),
              prefilled.get().tokens(),
              0,
              elapsedMillis(),
              dependencies.handleLifetimeMillis().apply(upstream().service())));
    }
  }

  private final class ResponseListener extends BufferingListener {
    private ResponseHead head = new ResponseHead(0, MultiMap.caseInsensitiveMultiMap());
    private ResponseDisposition disposition = ResponseDisposition.UNKNOWN;
    private final WholeEvents stream =
        new WholeEvents(dependencies.protocol().attemptHeader(), this::event);
    private final AttemptEvents numbering;
    private int lastIndex = -1;

    ResponseListener(
        int attempt,
        UpstreamDefinition upstream,
        Consumer<LifecycleEvent> lifecycle,
        int startIndex) {
      super(attempt, upstream, lifecycle);
      this.numbering = new AttemptEvents(startIndex, position.lastId());
    }

    @Override
    public boolean head(int status, MultiMap headers) {
      disposition =
          dependencies
              .protocol()
              .dispositionOf(status, headers, request.parameters().attempt(), false);
      if (disposition == ResponseDisposition.INVALID) {
        failed(UpstreamFailure.MALFORMED);
        return false;
      }
      recordResponse(disposition, status, headers);
      head = new ResponseHead(status, dependencies.protocol().returnedHeaders(headers));
      return true;
    }

    @Override
    int maximumBytes() {
      boolean isReturned =
          disposition == ResponseDisposition.SERVED || disposition == ResponseDisposition.FAILED;
      return isReturned ? MAXIMUM_BODY_BYTES : MAXIMUM_FIELDS_BYTES;
    }

    @Override
    public Optional<UpstreamFailure> bytes(Buffer bytes) {
      if (!isStream()) {
        return super.bytes(bytes);
      }
      try {
        if (!stream.add(bytes)) {
          return Optional.of(UpstreamFailure.MALFORMED);
        }
      } catch (NumberFormatException | NonIncreasingIdException malformed) {
        return Optional.of(UpstreamFailure.MALFORMED);
      }
      return stream.pendingBytes() > MAXIMUM_EVENT_BYTES
          ? exceeded(ResponseBound.EVENT_BYTES)
          : Optional.empty();
    }

    @Override
    void endWhole() {
      if (disposition == ResponseDisposition.FULL
          || disposition == ResponseDisposition.MISDIRECTED) {
        failed(failureOf(disposition));
      } else if (isStream()) {
        endStream();
      } else {
        endBuffered();
      }
    }

    private boolean isStream() {
      return streaming && disposition == ResponseDisposition.SERVED;
    }

    private void event(EventSplitter.Event event) throws NonIncreasingIdException {
      if (numbering.isEmpty()) {
        streamHeads.put(attempt(), head);
        emit(
            new LifecycleEvent.OutputStarted(
                attempt(), upstream().name(), upstream().softwareVersion()));
      }
      lastIndex = numbering.indexOf(event);
      position.received(lastIndex, event.id());
      emit(new LifecycleEvent.TokenArrived(profile.id(), attempt(), lastIndex, event.text()));
    }

    private void endStream() {
      try {
        if (!stream.end() || lastIndex < 0) {
          failed(UpstreamFailure.CUT);
          return;
        }
      } catch (NonIncreasingIdException malformed) {
        failed(UpstreamFailure.MALFORMED);
        return;
      }
      runTimer.served();
      emit(
          new LifecycleEvent.StreamFinished(
              profile.id(),
              attempt(),
              lastIndex + 1,
              "stop",
              profile.promptTokens(),
              0,
              stream.trailingText()));
    }

    private void endBuffered() {
      responses.put(attempt(), new PlainResponse(head.status(), head.headers(), body()));
      if (!streaming) {
        dependencies.plainResponseTimes().accept(upstream().service(), elapsedMillis());
      }
      if (disposition == ResponseDisposition.SERVED && !streaming) {
        runTimer.served();
        emit(new LifecycleEvent.PlainResponseReceived(attempt()));
      } else if (disposition == ResponseDisposition.FAILED) {
        emit(new LifecycleEvent.FailureResponseReceived(attempt()));
      } else {
        failed(UpstreamFailure.MALFORMED);
      }
    }
  }
}
