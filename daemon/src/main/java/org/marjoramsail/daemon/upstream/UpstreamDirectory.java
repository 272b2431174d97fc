package org.marjoramsail.daemon.upstream;

import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/** Index of the upstreams of the newest configuration by name. */
public final class UpstreamDirectory {

  private record Index(long revision, Map<UpstreamName, UpstreamDefinition> definitions) {}

  private final Supplier<Configuration> configuration;
  private volatile Index index;

  /** Creates a directory of the configuration that the supplier returns. */
  public UpstreamDirectory(Supplier<Configuration> configuration) {
    this.configuration = configuration;
    this.index = index(configuration.get());
  }

  /** Returns the definition of an upstream in the newest configuration. */
  public Optional<UpstreamDefinition> definition(UpstreamName name) {
    Configuration newest = configuration.get();
    Index current = index;
    if (current.revision() != newest.revision()) {
      current = index(newest);
      index = current;
    }
    return Optional.ofNullable(current.definitions().get(name));
  }

  /** Returns the endpoint of an upstream in the newest configuration. */
  public Optional<UpstreamEndpoint> endpoint(UpstreamName name) {
    return definition(name).map(UpstreamEndpoint::of);
  }

  private static Index index(Configuration configuration) {
    return new Index(
        configuration.revision(),
        configuration.upstreams().stream()
            .collect(
                Collectors.toUnmodifiableMap(
                    UpstreamDefinition::name, Function.identity(), (first, second) -> first)));
  }
}
