package org.marjoramsail.core.configuration;

import java.util.Optional;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Definition of one upstream.
 *
 * @param name unique name of the upstream
 * @param service the service that it serves
 * @param role its role; for an engine, the role that it should have
 * @param address an IP number
 * @param port a TCP port
 * @param availabilityZone its availability zone
 * @param region the region of that availability zone
 * @param slots maximum number of its concurrent requests
 * @param fenced whether it refuses commands with an outdated fencing token
 * @param drained whether an operator has drained it
 * @param memoryTokens capacity of its KV cache in tokens, if known
 * @param startedAtMillis start time of the incarnation, if known; see {@link Incarnation}
 * @param softwareVersion version of its software, if known
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
    Optional<Long> startedAtMillis,
    Optional<SoftwareVersion> softwareVersion)
    implements ConfigurationObject {

  /**
   * Creates an upstream with unknown memory, start time and software version, limited by its slots
   * alone.
   */
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
        Optional.empty(),
        Optional.empty());
  }

  /** Returns a copy with this capacity. */
  public UpstreamDefinition withCapacity(int newSlots, Optional<Integer> newMemoryTokens) {
    return copy(newSlots, drained, newMemoryTokens, startedAtMillis, softwareVersion);
  }

  /** Returns a copy with this start time. */
  public UpstreamDefinition withStartTime(long newStartedAtMillis) {
    return copy(slots, drained, memoryTokens, Optional.of(newStartedAtMillis), softwareVersion);
  }

  /** Returns a copy with this software version. */
  public UpstreamDefinition withSoftwareVersion(SoftwareVersion newVersion) {
    return copy(slots, drained, memoryTokens, startedAtMillis, Optional.of(newVersion));
  }

  /** Returns a copy that is drained or not. */
  public UpstreamDefinition withDrained(boolean newDrained) {
    return copy(slots, newDrained, memoryTokens, startedAtMillis, softwareVersion);
  }

  private UpstreamDefinition copy(
      int newSlots,
      boolean newDrained,
      Optional<Integer> newMemoryTokens,
      Optional<Long> newStartedAtMillis,
      Optional<SoftwareVersion> newVersion) {
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
        newDrained,
        newMemoryTokens,
        newStartedAtMillis,
        newVersion);
  }

  /**
   * Returns whether this upstream may continue the output of a software version.
   *
   * @param version the version; empty if there is no output yet, or its version is unknown
   */
  public boolean mayContinue(Optional<SoftwareVersion> version) {
    return version.isEmpty() || version.equals(softwareVersion);
  }

  /** Returns the incarnation of this upstream. */
  public Incarnation incarnation() {
    return new Incarnation(name, startedAtMillis.orElse(Incarnation.UNKNOWN_START));
  }

  @Override
  public ObjectKey key() {
    return new ObjectKey(ObjectKind.UPSTREAM, name.value());
  }
}
