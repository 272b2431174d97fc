package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.placement.LoadReport;

/**
 * Status that an upstream reports of itself.
 *
 * @param name name of the upstream, as configured in the upstream itself
 * @param incarnation increases with each start
 * @param role its role, as the upstream names it
 * @param model the loaded model
 * @param version the version of that model
 * @param adapters the loaded adapters
 * @param slots maximum number of concurrent requests
 * @param running number of running requests
 * @param waiting number of accepted requests that have not started
 * @param queuedPrefillTokens number of accepted prompt tokens that are not prefilled
 * @param kvBytes size of its KV cache contents
 * @param leaving whether it is draining and accepts no new requests
 * @param ageMillis age of the report
 * @param orderToken highest fencing token that it has received
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

  /** Returns the load report for placement; an unknown role is replaced by the configured one. */
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
