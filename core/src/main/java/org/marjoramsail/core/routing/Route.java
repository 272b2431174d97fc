package org.marjoramsail.core.routing;

import java.util.List;
import org.marjoramsail.core.model.Repeatability;

/**
 * One route of the configuration: the requests that it matches and how they are forwarded.
 *
 * @param name unique name of the route
 * @param host the host name in the request, in lower case
 * @param pathPrefix the path prefix that it matches; begins and ends with a slash
 * @param repeatability whether its requests may run more than once
 * @param streaming whether its responses are streams of events
 * @param timeoutMillis the maximum time until the response to a request
 * @param targetMillis latency target for a plain response or the first event of a stream
 * @param gapTargetMillis latency target between two events of a stream
 * @param priority priority of its requests; zero is the most urgent
 * @param maximumSends maximum number of upstreams that one request may be sent to
 * @param services the services that share its requests; at least one
 * @param anonymous whether callers without a key may use the route
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    Repeatability repeatability,
    boolean streaming,
    long timeoutMillis,
    long targetMillis,
    long gapTargetMillis,
    int priority,
    int maximumSends,
    List<WeightedService> services,
    boolean anonymous) {

  /** Copies the list to make the record immutable. */
  public Route {
    services = List.copyOf(services);
  }

  /** Creates a route that requires a key if the configuration has organisations. */
  public Route(
      String name,
      String host,
      String pathPrefix,
      Repeatability repeatability,
      boolean streaming,
      long timeoutMillis,
      long targetMillis,
      long gapTargetMillis,
      int priority,
      int maximumSends,
      List<WeightedService> services) {
    this(
        name,
        host,
        pathPrefix,
        repeatability,
        streaming,
        timeoutMillis,
        targetMillis,
        gapTargetMillis,
        priority,
        maximumSends,
        services,
        false);
  }

  /**
   * Selects the service of one request by weight.
   *
   * @param requestHash hash of the identifier of the request, so that its repeats get the same
   *     service
   */
  public String serviceFor(long requestHash) {
    int sum = services.stream().mapToInt(WeightedService::weight).sum();
    long remainder = sum <= 0 ? 0 : Math.floorMod(requestHash, (long) sum);
    for (WeightedService candidate : services) {
      remainder -= candidate.weight();
      if (remainder < 0) {
        return candidate.service();
      }
    }
    return services.get(0).service();
  }
}
