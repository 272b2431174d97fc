package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Address and port on which an upstream listens.
 *
 * @param name name of the upstream
 * @param address IP address
 * @param port TCP port
 */
public record UpstreamEndpoint(UpstreamName name, String address, int port) {

  /** Returns the endpoint of a configured upstream. */
  public static UpstreamEndpoint of(UpstreamDefinition definition) {
    return new UpstreamEndpoint(definition.name(), definition.address(), definition.port());
  }
}
