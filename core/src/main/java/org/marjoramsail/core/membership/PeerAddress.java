package org.marjoramsail.core.membership;

import java.util.Objects;

/**
 * Address on which a daemon listens for other daemons.
 *
 * @param address an IP address
 * @param port a TCP port
 */
public record PeerAddress(String address, int port) {

  /** Requires that the address is present. */
  public PeerAddress {
    Objects.requireNonNull(address, "address");
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
