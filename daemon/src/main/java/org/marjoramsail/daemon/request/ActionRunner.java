package org.marjoramsail.daemon.request;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.KvSource;
import org.marjoramsail.core.outcome.LifecycleAction;
import org.marjoramsail.core.outcome.LifecycleEvent;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.UpstreamFailure;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.metrics.RequestMetrics;
import org.marjoramsail.daemon.upstream.DecodeFrame;
import org.marjoramsail.daemon.upstream.DecodeListener;
import org.marjoramsail.daemon.upstream.DecodeOrder;
import org.marjoramsail.daemon.upstream.KvLocation;
import org.marjoramsail.daemon.upstream.PlainAnswer;
import org.marjoramsail.daemon.upstream.PlainOrder;
import org.marjoramsail.daemon.upstream.PrefillAnswer;
import org.marjoramsail.daemon.upstream.PrefillOrder;
import org.marjoramsail.daemon.upstream.UpstreamCall;
import org.marjoramsail.daemon.upstream.UpstreamEndpoint;

/** Carries out the actions of one request and brings their results back as events. */
final class ActionRunner {

  private record Call(int attempt, UpstreamCall call) {}

  private record Answer(int attempt, PlainAnswer answer) {}

  private final RequestProfile profile;
  private final RequestContent content;
  private final Optional<ClaimRequest> claim;
  private final CallerSink sink;
  private final RequestPeers peers;
  private final RequestMeter meter;
  private final Map<UpstreamName, UpstreamEndpoint> endpoints = new HashMap<>(2);
  private Optional<Call> call = Optional.empty();
  private volatile Optional<Answer> answer = Optional.empty();

  ActionRunner(
      RequestProfile profile,
      RequestContent content,
      Optional<ClaimRequest> claim,
      CallerSink sink,
      RequestPeers peers,
      RequestMetrics metrics,
      Clock clock,
      long perTokenTargetMillis) {
    this.profile = profile;
    this.content = content;
    this.claim = claim;
    this.sink = sink;
    this.peers = peers;
    this.meter = new RequestMeter(metrics, clock, profile, perTokenTargetMillis);
  }

  void run(LifecycleAction action, Consumer<LifecycleEvent> events) {
    if (action instanceof LifecycleAction.EmitToken token) {
      meter.token();
      sink.token(token.index(), token.text());
    } else if (action instanceof LifecycleAction.Complete complete) {
      meter.completed();
      sink.complete(complete.completion());
    } else if (action instanceof LifecycleAction.DeliverAnswer deliver) {
      deliver(deliver.attempt());
    } else if (action instanceof LifecycleAction.Refuse refuse) {
      meter.refused(refuse.refusal());
      sink.refuse(refuse.refusal());
    } else if (action instanceof LifecycleAction.CountRetry retry) {
      meter.retried(retry.reason());
    } else if (action instanceof LifecycleAction.CountDrop drop) {
      meter.dropped(drop.reason());
    } else if (!runPlacement(action, events)) {
      runUpstream(action, events);
    }
  }

  private boolean runPlacement(LifecycleAction action, Consumer<LifecycleEvent> events) {
    if (action instanceof LifecycleAction.Place place) {
      peers.placement().place(place.request(), result -> placed(result, events));
    } else if (action instanceof LifecycleAction.Report report) {
      peers.placement().report(report.report());
    } else if (action instanceof LifecycleAction.Withdraw withdraw) {
      peers.placement().withdraw(withdraw.request());
    } else if (action instanceof LifecycleAction.RecordClaim) {
      recordClaim(events);
    } else if (action instanceof LifecycleAction.SettleClaim settle) {
      claim.ifPresent(request -> peers.claims().settle(request, settle.outcome()));
    } else {
      return false;
    }
    return true;
  }

  private void runUpstream(LifecycleAction action, Consumer<LifecycleEvent> events) {
    if (action instanceof LifecycleAction.SendPrefill send) {
      sendPrefill(send, events);
    } else if (action instanceof LifecycleAction.SendDecode send) {
      sendDecode(send, events);
    } else if (action instanceof LifecycleAction.SendPlain send) {
      sendPlain(send, events);
    } else if (action instanceof LifecycleAction.CloseAttempt close) {
      call.filter(open -> open.attempt() == close.attempt()).ifPresent(open -> open.call().close());
    } else if (action instanceof LifecycleAction.Cancel cancel) {
      cancel(cancel, events);
    }
  }

  private void deliver(int attempt) {
    meter.plainAnswered();
    answer.filter(kept -> kept.attempt() == attempt).ifPresent(kept -> sink.answer(kept.answer()));
  }

  private static void placed(PlacementResult result, Consumer<LifecycleEvent> events) {
    if (result instanceof PlacementResult.Granted granted) {
      events.accept(new LifecycleEvent.Granted(granted.grant()));
    } else if (result instanceof PlacementResult.Refused refused) {
      events.accept(new LifecycleEvent.PlacementRefused(refused.attempt(), refused.refusal()));
    }
  }

  private void recordClaim(Consumer<LifecycleEvent> events) {
    peers
        .claims()
        .claim(claim.orElseThrow())
        .onSuccess(decision -> claimed(decision, events))
        .onFailure(
            cause ->
                events.accept(
                    new LifecycleEvent.ClaimRefused(
                        Refusal.notRun(
                            RefusalReason.STORE_UNAVAILABLE,
                            "The claim could not be recorded: " + cause.getMessage()))));
  }

  private static void claimed(ClaimDecision decision, Consumer<LifecycleEvent> events) {
    if (decision instanceof ClaimDecision.Refused refused) {
      events.accept(new LifecycleEvent.ClaimRefused(refused.refusal()));
    } else {
      events.accept(new LifecycleEvent.ClaimRecorded());
    }
  }

  private void sendPrefill(LifecycleAction.SendPrefill send, Consumer<LifecycleEvent> events) {
    RequestContent.Generation generation = (RequestContent.Generation) content;
    Optional<UpstreamEndpoint> endpoint = endpoint(send.upstream(), send.attempt(), events);
    PrefillOrder order =
        new PrefillOrder(
            profile.id(),
            send.attempt(),
            profile.entry().host(),
            profile.entry().incarnation(),
            generation.model(),
            profile.serviceClass().rank(),
            generation.prompt());
    endpoint.ifPresent(
        known ->
            keep(
                send.attempt(),
                peers
                    .engines()
                    .prefill(
                        known,
                        order,
                        prefilled -> events.accept(prefilled(send.attempt(), prefilled)),
                        failure -> failed(send.attempt(), send.upstream(), failure, events))));
  }

  private static LifecycleEvent prefilled(int attempt, PrefillAnswer prefilled) {
    return new LifecycleEvent.Prefilled(
        attempt,
        prefilled.handle(),
        prefilled.promptTokens(),
        prefilled.cachedTokens(),
        prefilled.tookMillis(),
        prefilled.lifetimeMillis());
  }

  private void sendDecode(LifecycleAction.SendDecode send, Consumer<LifecycleEvent> events) {
    RequestContent.Generation generation = (RequestContent.Generation) content;
    Optional<UpstreamEndpoint> endpoint = endpoint(send.upstream(), send.attempt(), events);
    DecodeOrder order =
        new DecodeOrder(
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
    endpoint.ifPresent(
        known ->
            keep(
                send.attempt(),
                peers
                    .engines()
                    .decode(
                        known,
                        order,
                        !profile.repeatability().isResendable(),
                        listener(send.attempt(), send.upstream(), events))));
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
        ActionRunner.this.failed(attempt, upstream, failure, events);
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

  private void sendPlain(LifecycleAction.SendPlain send, Consumer<LifecycleEvent> events) {
    RequestContent.Plain plain = (RequestContent.Plain) content;
    PlainOrder order =
        new PlainOrder(
            profile.id(),
            send.attempt(),
            plain.method(),
            plain.path(),
            plain.headers(),
            plain.body());
    endpoint(send.upstream(), send.attempt(), events)
        .ifPresent(
            known ->
                keep(
                    send.attempt(),
                    peers
                        .plainServices()
                        .send(
                            known,
                            order,
                            !profile.repeatability().isResendable(),
                            got -> plainAnswered(send.attempt(), got, events),
                            failure -> failed(send.attempt(), send.upstream(), failure, events))));
  }

  private void plainAnswered(int attempt, PlainAnswer got, Consumer<LifecycleEvent> events) {
    answer = Optional.of(new Answer(attempt, got));
    events.accept(new LifecycleEvent.PlainAnswered(attempt));
  }

  private void cancel(LifecycleAction.Cancel cancel, Consumer<LifecycleEvent> events) {
    Optional.ofNullable(endpoints.get(cancel.upstream()))
        .ifPresent(
            endpoint ->
                peers
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
    Optional<UpstreamEndpoint> known = peers.directory().endpoint(upstream);
    known.ifPresentOrElse(
        endpoint -> endpoints.put(upstream, endpoint),
        () -> failed(attempt, upstream, UpstreamFailure.CONNECT_FAILED, events));
    return known;
  }

  private void keep(int attempt, UpstreamCall opened) {
    call = Optional.of(new Call(attempt, opened));
  }

  private void failed(
      int attempt,
      UpstreamName upstream,
      UpstreamFailure failure,
      Consumer<LifecycleEvent> events) {
    events.accept(new LifecycleEvent.UpstreamFailed(attempt, upstream, failure));
    if (failure.isCrashSign()) {
      peers.directory().definition(upstream).ifPresent(peers.probe());
    }
  }
}
