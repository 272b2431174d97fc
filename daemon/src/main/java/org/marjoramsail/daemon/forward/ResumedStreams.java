package org.marjoramsail.daemon.forward;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.routing.WeightedService;
import org.marjoramsail.core.stream.StreamKey;
import org.marjoramsail.core.stream.StreamOrigin;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds where the streams began that callers resume. A stream whose origin is not known is refused,
 * never continued on a guess. Runs on one event loop.
 */
final class ResumedStreams {

  private static final Logger LOG = LoggerFactory.getLogger(ResumedStreams.class);

  /** Time after which another attempt may find a daemon that knows the stream, in milliseconds. */
  private static final long RETRY_MILLIS = 1_000;

  private final StreamDirectory directory;
  private final ListedVersions versions;
  private final ListConfirmation lists;
  private final Map<ResumeOutcome, Counter> counters = new EnumMap<>(ResumeOutcome.class);

  /**
   * Creates an instance.
   *
   * @param lists brings {@code versions} up to date
   */
  ResumedStreams(
      StreamDirectory directory,
      ListedVersions versions,
      ListConfirmation lists,
      MeterRegistry meters) {
    this.directory = directory;
    this.versions = versions;
    this.lists = lists;
    for (ResumeOutcome outcome : ResumeOutcome.values()) {
      counters.put(
          outcome, meters.counter("marjoramsail.streams.resumed", "origin", outcome.code()));
    }
  }

  /**
   * Finds the origin of a stream.
   *
   * @param organisation the organisation of the caller
   * @param eventLoop runs tasks on the event loop
   * @param listener receives the origin, or empty if it is not known; called once
   */
  void find(
      CallerParameters parameters,
      Route route,
      String organisation,
      Executor eventLoop,
      Consumer<Optional<StreamOrigin>> listener) {
    if (parameters.resumes().isEmpty()) {
      infer(parameters, route, ResumeOutcome.UNNAMED, listener);
      return;
    }
    StreamKey key = StreamKey.of(organisation, parameters.resumes().get());
    directory.find(
        key, result -> eventLoop.execute(() -> found(parameters, route, result, listener)));
  }

  /** Returns the refusal of a stream whose origin is not known. */
  static Refusal refusal(CallerParameters parameters) {
    return Refusal.notRun(
        RefusalReason.STREAM_UNKNOWN,
        "Nobody knows which software version began the stream of attempt '"
            + parameters.resumes().orElse("")
            + "'; begin anew if it stays so.",
        RETRY_MILLIS);
  }

  private void found(
      CallerParameters parameters,
      Route route,
      StreamLookup.Result result,
      Consumer<Optional<StreamOrigin>> listener) {
    if (result.knowledge().ambiguous()) {
      log(parameters, route, ResumeOutcome.AMBIGUOUS, Optional.empty(), result);
      listener.accept(Optional.empty());
      return;
    }
    Optional<StreamOrigin> origin =
        result.knowledge().origin().filter(known -> mayServe(route, known.service()));
    if (origin.isEmpty()) {
      infer(parameters, route, ResumeOutcome.UNKNOWN, listener);
      return;
    }
    log(parameters, route, ResumeOutcome.RECORDED, origin, result);
    listener.accept(origin);
  }

  /**
   * Finds the only origin that streams of the route can have, if there is one. The lists are read
   * first: the stream may have begun at another daemon on an upstream that was listed while this
   * one was paused or cut off.
   */
  private void infer(
      CallerParameters parameters,
      Route route,
      ResumeOutcome otherwise,
      Consumer<Optional<StreamOrigin>> listener) {
    lists.confirm(
        () -> {
          Optional<StreamOrigin> only = versions.onlyOrigin(route);
          ResumeOutcome outcome = only.isPresent() ? ResumeOutcome.ONLY_VERSION : otherwise;
          log(parameters, route, outcome, only, StreamLookup.Result.NONE);
          listener.accept(only);
        });
  }

  private static boolean mayServe(Route route, String service) {
    return route.services().stream().map(WeightedService::service).anyMatch(service::equals);
  }

  private void log(
      CallerParameters parameters,
      Route route,
      ResumeOutcome outcome,
      Optional<StreamOrigin> origin,
      StreamLookup.Result result) {
    counters.get(outcome).increment();
    String service = origin.map(StreamOrigin::service).orElse(route.services().get(0).service());
    LOG.atInfo()
        .addKeyValue("attempt", parameters.attempt())
        .addKeyValue("resumes", parameters.resumes().orElse(""))
        .addKeyValue("lastEvent", parameters.resumeAfter().orElse(0))
        .addKeyValue("rule", route.name())
        .addKeyValue("service", service)
        .addKeyValue("origin", outcome.code())
        .addKeyValue("version", origin.map(found -> found.version().value()).orElse(""))
        .addKeyValue("knownBy", result.source().map(DaemonId::host).orElse(""))
        .addKeyValue("ageMillis", result.knowledge().ageMillis())
        .addKeyValue("listed", versions.describe(service))
        .log("caller resumes a stream");
  }
}
