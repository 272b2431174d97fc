package org.marjoramsail.daemon.caller;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.outcome.Fingerprint;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.placement.PrefixHasher;
import org.marjoramsail.core.placement.SampledPrefixHashes;
import org.marjoramsail.daemon.request.ClaimRequest;
import org.marjoramsail.daemon.request.RequestContent;

/** Creates the profile, content and claim of a request from what its caller sent. */
final class RequestFactory {

  /**
   * A request that is ready to be registered.
   *
   * @param profile properties on which decisions about the request depend
   * @param content content that is sent to upstreams
   * @param claim the claim that has to be recorded first
   * @param rule the rule that matched
   */
  record Prepared(
      RequestProfile profile,
      RequestContent content,
      Optional<ClaimRequest> claim,
      RuleDefinition rule) {}

  /**
   * Properties of a request that are known before its body is read.
   *
   * @param id identifier of the request
   * @param receivedAtMillis when the request arrived
   * @param configuration the configuration at that time
   * @param organisation organisation of the caller
   * @param headers parameters that the caller sent in headers
   */
  record Arrival(
      RequestId id,
      long receivedAtMillis,
      Configuration configuration,
      OrganisationDefinition organisation,
      CallerHeaders headers) {}

  private final CallerDependencies dependencies;

  RequestFactory(CallerDependencies dependencies) {
    this.dependencies = dependencies;
  }

  Prepared generation(Arrival arrival, CompletionFormat format, CompletionCall call)
      throws RejectedRequestException {
    ServiceDefinition service = service(arrival, call.service(), ServiceKind.MODEL);
    String model = service.model().orElse(service.name());
    RuleDefinition rule =
        RuleMatcher.match(arrival.configuration(), service, "POST", format.path());
    RequestContent content = new RequestContent.Generation(model, call.prompt());
    long fingerprint = Fingerprint.of(service.name(), call.prompt());
    return prepared(
        arrival, service, rule, content, call.prompt(), call.maximumTokens(), fingerprint);
  }

  Prepared plain(Arrival arrival, CallerRoute.Plain route, HttpServerRequest request, Buffer body)
      throws RejectedRequestException {
    ServiceDefinition service = service(arrival, route.service(), ServiceKind.PLAIN);
    String method = request.method().name();
    RuleDefinition rule = RuleMatcher.match(arrival.configuration(), service, method, route.path());
    RequestContent content =
        new RequestContent.Plain(method, route.pathAndQuery(), request.headers(), body);
    Buffer fingerprinted =
        Buffer.buffer(method + " " + route.pathAndQuery() + "\n").appendBuffer(body);
    long fingerprint = Fingerprint.of(service.name(), fingerprinted.getBytes());
    return prepared(arrival, service, rule, content, "", 0, fingerprint);
  }

  private Prepared prepared(
      Arrival arrival,
      ServiceDefinition service,
      RuleDefinition rule,
      RequestContent content,
      String prompt,
      int outputTokens,
      long fingerprint) {
    long deadlineMillis =
        Math.min(
            rule.deadlineMillis(),
            arrival.headers().deadlineMillis().orElse(rule.deadlineMillis()));
    Optional<ClaimRequest> claim =
        arrival
            .headers()
            .idempotencyKey()
            .filter(key -> rule.repeatability() == Repeatability.AT_MOST_ONCE)
            .map(key -> claim(arrival, service, rule, key, fingerprint, deadlineMillis));
    RequestProfile profile =
        new RequestProfile(
            arrival.id(),
            dependencies.daemon(),
            service.name(),
            arrival.organisation().name(),
            rule.name(),
            rule.serviceClass(),
            rule.repeatability(),
            service.kind() == ServiceKind.MODEL,
            claim.isPresent(),
            PrefixHasher.tokenCount(prompt),
            outputTokens,
            SampledPrefixHashes.of(prompt),
            fingerprint,
            arrival.receivedAtMillis(),
            arrival.receivedAtMillis() + rule.firstTokenTargetMillis(),
            arrival.receivedAtMillis() + deadlineMillis);
    return new Prepared(profile, content, claim, rule);
  }

  private static ClaimRequest claim(
      Arrival arrival,
      ServiceDefinition service,
      RuleDefinition rule,
      String key,
      long fingerprint,
      long deadlineMillis) {
    return new ClaimRequest(
        arrival.id(),
        arrival.organisation().name(),
        service.name(),
        key,
        fingerprint,
        rule.storeOutagePolicy(),
        deadlineMillis);
  }

  private static ServiceDefinition service(Arrival arrival, String name, ServiceKind kind)
      throws RejectedRequestException {
    Optional<ServiceDefinition> service =
        arrival.configuration().service(name).filter(candidate -> candidate.kind() == kind);
    if (service.isEmpty()) {
      List<String> allowed =
          arrival.configuration().services().stream()
              .filter(candidate -> candidate.kind() == kind)
              .map(ServiceDefinition::name)
              .toList();
      throw new RejectedRequestException(
          RefusalReason.UNKNOWN_SERVICE,
          "The service is \"" + name + "\"; allowed: " + String.join(", ", allowed) + ".");
    }
    List<String> granted = arrival.organisation().services();
    if (!granted.isEmpty() && !granted.contains(name)) {
      throw new RejectedRequestException(
          RefusalReason.FORBIDDEN,
          "The service is \"" + name + "\"; allowed for this organisation: " + granted + ".");
    }
    return service.get();
  }
}
