package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Where an upstream listens.
 *
 * @param name its name
 * @param address an IP number
 * @param port a TCP port
 */
public record UpstreamEndpoint(UpstreamName name, String address, int port) {

  /** The endpoint that the configuration names. */
  public static UpstreamEndpoint of(UpstreamDefinition definition) {
    return new UpstreamEndpoint(definition.name(), definition.address(), definition.port());
  }
}
