package org.marjoramsail.daemon.forward;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntBiFunction;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.StreamChunking;
import org.marjoramsail.core.outcome.Fingerprint;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.SharedPromptPart;
import org.marjoramsail.core.routing.ForwardingRules;
import org.marjoramsail.core.routing.OutputForecast;
import org.marjoramsail.core.routing.Route;
import org.marjoramsail.core.stream.StreamOrigin;

/** Creates the profiles of forwarded requests. Runs on one event loop. */
final class ForwardProfiles {

  private final DaemonId daemon;
  private final OutputForecast forecast;
  private final Function<String, Integer> tokensPerEvent;
  private final ToIntBiFunction<Route, String> urgency;
  private long sequence;

  /**
   * Creates an instance.
   *
   * @param daemon this daemon, which the identifiers of its requests name
   * @param forecast predicts output lengths
   * @param tokensPerEvent returns the number of tokens in an event of a service's streams
   * @param urgency returns the urgency of a route among the routes to a service
   */
  ForwardProfiles(
      DaemonId daemon,
      OutputForecast forecast,
      Function<String, Integer> tokensPerEvent,
      ToIntBiFunction<Route, String> urgency) {
    this.daemon = daemon;
    this.forecast = forecast;
    this.tokensPerEvent = tokensPerEvent;
    this.urgency = urgency;
  }

  /**
   * Creates the profile of a request that was read whole.
   *
   * @param origin the origin of the stream that the request resumes
   */
  RequestProfile create(
      ForwardedRequest request, AcceptedRequest accepted, Optional<StreamOrigin> origin) {
    CallerParameters parameters = accepted.parameters();
    Route route = accepted.route();
    long receivedAtMillis = accepted.receivedAtMillis();
    boolean generation = route.streaming() && parameters.promptTokens() > 0;
    String service =
        origin
            .map(StreamOrigin::service)
            .orElseGet(() -> route.serviceFor(Fingerprint.of(parameters.attempt(), new byte[0])));
    int outputTokens =
        generation
            ? forecast.expectedTokens(
                route.name(), parameters.outputTokens(), parameters.expectedTokens())
            : 0;
    return new RequestProfile(
        new RequestId(parameters.attempt() + "." + daemon.host() + "." + sequence++),
        daemon,
        service,
        accepted.organisationName(),
        route.name(),
        ServiceClass.TIMELY,
        route.repeatability(),
        generation,
        false,
        generation ? parameters.promptTokens() : 0,
        outputTokens,
        List.of(),
        fingerprint(service, accepted.organisationName(), request),
        receivedAtMillis,
        ForwardingRules.targetAtMillis(route, receivedAtMillis),
        ForwardingRules.deadlineAtMillis(route, receivedAtMillis, parameters.timeoutMillis()),
        new StreamChunking(tokensPerEvent.apply(service), route.gapTargetMillis()),
        accepted
            .organisation()
            .map(
                holder ->
                    holder.countedTokens(parameters.promptTokens(), parameters.outputTokens()))
            .orElse(0),
        origin.map(StreamOrigin::version),
        parameters.sharedPromptParts().stream()
            .map(id -> SharedPromptPart.of(service, accepted.organisationName(), id))
            .toList(),
        urgency.applyAsInt(route, service));
  }

  /**
   * Returns the fingerprint of a content. Another caller may be served where the content of one
   * crashes upstreams.
   */
  static long fingerprint(String service, String caller, ForwardedRequest request) {
    byte[] line = (request.method() + " " + request.uri() + "\n").getBytes(StandardCharsets.UTF_8);
    byte[] whole = Arrays.copyOf(line, line.length + request.body().length());
    request.body().getBytes(whole, line.length);
    return Fingerprint.of(service + "\n" + caller, whole);
  }
}
