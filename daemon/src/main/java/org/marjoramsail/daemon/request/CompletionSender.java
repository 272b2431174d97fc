package org.marjoramsail.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.KvSource;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.daemon.upstream.DecodeFrame;
import org.marjoramsail.daemon.upstream.DecodeListener;
import org.marjoramsail.daemon.upstream.DecodeRequest;
import org.marjoramsail.daemon.upstream.KvLocation;
import org.marjoramsail.daemon.upstream.PlainRequest;
import org.marjoramsail.daemon.upstream.PlainResponse;
import org.marjoramsail.daemon.upstream.PrefillRequest;
import org.marjoramsail.daemon.upstream.PrefillResponse;
import org.marjoramsail.daemon.upstream.UpstreamEndpoint;

/** Sends the attempts of a completion request or of a plain request to upstreams. */
public final class CompletionSender implements AttemptSender {

  private final RequestProfile profile;
  private final RequestContent content;
  private final CallerSink sink;
  private final CallerPresence caller;
  private final UpstreamClients clients;
  private final Map<UpstreamName, UpstreamEndpoint> endpoints = new HashMap<>(2);
  private final Map<Integer, PlainResponse> responses = new ConcurrentHashMap<>(2);

  /**
   * Creates a sender for one request.
   *
   * @param profile properties of the request
   * @param content the content that upstreams receive
   * @param sink receives the output
   * @param caller tells whether the caller still waits
   * @param clients clients of the upstreams
   */
  public CompletionSender(
      RequestProfile profile,
      RequestContent content,
      CallerSink sink,
      CallerPresence caller,
      UpstreamClients clients) {
    this.profile = profile;
    this.content = content;
    this.sink = sink;
    this.caller = caller;
    this.clients = clients;
  }

  @Override
  public void deliver(int attempt) {
    Optional.ofNullable(responses.get(attempt)).ifPresent(sink::respond);
  }

  @Override
  public Optional<OpenCall> sendPrefill(
      LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events) {
    RequestContent.Generation generation = (RequestContent.Generation) content;
    Optional<UpstreamEndpoint> endpoint = endpoint(send.upstream(), send.attempt(), events);
    PrefillRequest request =
        new PrefillRequest(
            profile.id(),
            send.attempt(),
            profile.entry().host(),
            profile.entry().incarnation(),
            generation.model(),
            profile.serviceClass().rank(),
            generation.prompt());
    return endpoint.map(
        resolved ->
            clients
                .engines()
                .prefill(
                    resolved,
                    request,
                    caller,
                    prefilled -> events.accept(prefilled(send.attempt(), prefilled)),
                    failure -> failed(send.attempt(), send.upstream(), failure, events)));
  }

  private static LifecycleEvent prefilled(int attempt, PrefillResponse prefilled) {
    return new LifecycleEvent.Prefilled(
        attempt,
        prefilled.handle(),
        prefilled.promptTokens(),
        prefilled.cachedTokens(),
        prefilled.tookMillis(),
        prefilled.lifetimeMillis());
  }

  @Override
  public Optional<OpenCall> sendDecode(
      LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events) {
    RequestContent.Generation generation = (RequestContent.Generation) content;
    Optional<UpstreamEndpoint> endpoint = endpoint(send.upstream(), send.attempt(), events);
    DecodeRequest request =
        new DecodeRequest(
            profile.id(),
            send.attempt(),
            profile.entry().host(),
            profile.entry().incarnation(),
            generation.model(),
            profile.serviceClass().rank(),
            generation.prompt(),
            profile.promptTokens(),
            profile.outputTokens(),
            send.startIndex(),
            send.kv().flatMap(this::location));
    return endpoint.map(
        resolved ->
            clients
                .engines()
                .decode(
                    resolved,
                    request,
                    caller,
                    !profile.repeatability().isResendable(),
                    listener(send.attempt(), send.upstream(), events)));
  }

  private Optional<KvLocation> location(KvSource source) {
    return Optional.ofNullable(endpoints.get(source.holder()))
        .map(holder -> new KvLocation(holder.address(), holder.port(), source.handle()));
  }

  private DecodeListener listener(
      int attempt, UpstreamName upstream, Consumer<LifecycleEvent> events) {
    return new DecodeListener() {
      @Override
      public void frame(DecodeFrame frame) {
        events.accept(event(frame));
      }

      @Override
      public void failed(UpstreamFailure failure) {
        CompletionSender.this.failed(attempt, upstream, failure, events);
      }
    };
  }

  private static LifecycleEvent event(DecodeFrame frame) {
    if (frame.done()) {
      return new LifecycleEvent.StreamFinished(
          frame.request(),
          frame.attempt(),
          frame.index(),
          frame.finishReason(),
          frame.promptTokens(),
          frame.cachedTokens());
    }
    return new LifecycleEvent.TokenArrived(
        frame.request(), frame.attempt(), frame.index(), frame.text());
  }

  @Override
  public Optional<OpenCall> sendPlain(
      LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events) {
    RequestContent.Plain plain = (RequestContent.Plain) content;
    PlainRequest request =
        new PlainRequest(
            profile.id(),
            send.attempt(),
            plain.method(),
            plain.path(),
            plain.headers(),
            plain.body());
    return endpoint(send.upstream(), send.attempt(), events)
        .map(
            resolved ->
                clients
                    .plainServices()
                    .send(
                        resolved,
                        request,
                        caller,
                        !profile.repeatability().isResendable(),
                        received -> plainResponseReceived(send.attempt(), received, events),
                        failure -> failed(send.attempt(), send.upstream(), failure, events)));
  }

  private void plainResponseReceived(
      int attempt, PlainResponse received, Consumer<LifecycleEvent> events) {
    responses.put(attempt, received);
    events.accept(new LifecycleEvent.PlainResponseReceived(attempt));
  }

  @Override
  public void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events) {
    Optional.ofNullable(endpoints.get(cancel.upstream()))
        .ifPresent(
            endpoint ->
                clients
                    .engines()
                    .cancel(endpoint, profile.id(), cancel.attempt())
                    .onSuccess(
                        done ->
                            events.accept(
                                new LifecycleEvent.CancelConfirmed(
                                    cancel.attempt(), cancel.upstream()))));
  }

  private Optional<UpstreamEndpoint> endpoint(
      UpstreamName upstream, int attempt, Consumer<LifecycleEvent> events) {
    Optional<UpstreamEndpoint> resolved = clients.directory().endpoint(upstream);
    resolved.ifPresentOrElse(
        endpoint -> endpoints.put(upstream, endpoint),
        () -> failed(attempt, upstream, UpstreamFailure.CONNECT_FAILED, events));
    return resolved;
  }

  private void failed(
      int attempt,
      UpstreamName upstream,
      UpstreamFailure failure,
      Consumer<LifecycleEvent> events) {
    events.accept(new LifecycleEvent.UpstreamFailed(attempt, upstream, failure));
    if (failure.mayBeCrash()) {
      clients.directory().definition(upstream).ifPresent(clients.probe());
    }
  }
}
