package org.marjoramsail.core.routing;

import java.util.List;
import org.marjoramsail.core.model.Repeatability;

/**
 * One route of the configuration: which requests it takes and how they are treated.
 *
 * @param name unique
 * @param host the host that callers name, in lower case
 * @param pathPrefix begins and ends with a slash
 * @param repeatability whether its requests may run more than once
 * @param streaming whether its answers are streams of events
 * @param timeoutMillis the longest time that a request may be kept waiting
 * @param targetMillis the time within which an answer, or its first event, is in time
 * @param gapTargetMillis the longest pause between two events of a stream that is in time
 * @param priority its rank; zero is the most urgent
 * @param maximumSends how many upstreams one request may be sent to at most
 * @param services where its requests go; at least one
 * @param anonymous whether callers without a key may use it
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

  /** Copies the list, so that the value cannot change. */
  public Route {
    services = List.copyOf(services);
  }

  /** A route that needs a key wherever the configuration has organisations. */
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
   * The service of one request.
   *
   * @param requestHash any number, the same for the same request: a hash of its identifier
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
