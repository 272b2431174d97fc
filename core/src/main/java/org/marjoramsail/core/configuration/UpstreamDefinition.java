package org.marjoramsail.core.configuration;

import java.util.Optional;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * One server.
 *
 * @param name unique
 * @param service the service that it belongs to
 * @param role what it does; for engines the role that it should have
 * @param address an IP number
 * @param port a TCP port
 * @param availabilityZone where it stands
 * @param region the region of that availability zone
 * @param slots how many requests it holds at once
 * @param fenced whether it refuses orders that carry an old fencing token
 * @param drained whether an operator has taken it out of service
 * @param memoryTokens how many tokens of KV cache it holds at once, where that is known
 * @param startedAtMillis which life of it is meant, where that is known; see {@link Incarnation}
 */
public record UpstreamDefinition(
    UpstreamName name,
    String service,
    UpstreamRole role,
    String address,
    int port,
    String availabilityZone,
    String region,
    int slots,
    boolean fenced,
    boolean drained,
    Optional<Integer> memoryTokens,
    Optional<Long> startedAtMillis)
    implements ConfigurationObject {

  /** A server whose memory is not known, so that only its slots bound what it holds. */
  public UpstreamDefinition(
      UpstreamName name,
      String service,
      UpstreamRole role,
      String address,
      int port,
      String availabilityZone,
      String region,
      int slots,
      boolean fenced,
      boolean drained) {
    this(
        name,
        service,
        role,
        address,
        port,
        availabilityZone,
        region,
        slots,
        fenced,
        drained,
        Optional.empty(),
        Optional.empty());
  }

  /** The same server, holding so many requests and tokens at once. */
  public UpstreamDefinition withCapacity(int newSlots, Optional<Integer> newMemoryTokens) {
    return copy(newSlots, newMemoryTokens, startedAtMillis);
  }

  /** The same server in the life that began then. */
  public UpstreamDefinition withStartTime(long newStartedAtMillis) {
    return copy(slots, memoryTokens, Optional.of(newStartedAtMillis));
  }

  private UpstreamDefinition copy(
      int newSlots, Optional<Integer> newMemoryTokens, Optional<Long> newStartedAtMillis) {
    return new UpstreamDefinition(
        name,
        service,
        role,
        address,
        port,
        availabilityZone,
        region,
        newSlots,
        fenced,
        drained,
        newMemoryTokens,
        newStartedAtMillis);
  }

  /** The life of the server that is meant. */
  public Incarnation incarnation() {
    return new Incarnation(name, startedAtMillis.orElse(Incarnation.UNKNOWN_START));
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.UPSTREAM, name.value());
  }
}
