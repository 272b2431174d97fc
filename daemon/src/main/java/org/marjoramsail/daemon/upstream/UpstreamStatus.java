package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.LoadReport;

/**
 * What an upstream says of itself, as of some time ago.
 *
 * @param name its name, as it knows it
 * @param incarnation rises each time that it starts
 * @param role its role, in its words
 * @param model the model that it has loaded
 * @param version the version of that model
 * @param adapters the adapters that it has loaded
 * @param slots how many requests it holds at most
 * @param running how many it holds
 * @param waiting how many it has accepted and not begun
 * @param queuedPrefillTokens prompt tokens that it has accepted and not read
 * @param kvBytes KV cache that it holds
 * @param leaving whether it takes no new work
 * @param ageMillis how old the report is
 * @param orderToken the newest fencing token that it has seen
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record UpstreamStatus(
    String name,
    long incarnation,
    String role,
    String model,
    String version,
    List<String> adapters,
    int slots,
    int running,
    int waiting,
    int queuedPrefillTokens,
    long kvBytes,
    boolean leaving,
    long ageMillis,
    long orderToken) {

  /** Copies the list, so that the value cannot change. */
  public UpstreamStatus {
    adapters = adapters == null ? List.of() : List.copyOf(adapters);
  }

  /** The part that placement takes; an unknown role counts as the configured one. */
  public LoadReport loadReport(UpstreamDefinition definition) {
    return new LoadReport(
        definition.name(),
        incarnation,
        parsedRole().orElse(definition.role()),
        slots,
        running,
        waiting,
        queuedPrefillTokens,
        leaving,
        ageMillis);
  }

  private Optional<UpstreamRole> parsedRole() {
    if (role == null) {
      return Optional.empty();
    }
    String upperCaseRole = role.toUpperCase(Locale.ROOT);
    for (UpstreamRole candidate : UpstreamRole.values()) {
      if (candidate.name().equals(upperCaseRole)) {
        return Optional.of(candidate);
      }
    }
    return Optional.empty();
  }
}
