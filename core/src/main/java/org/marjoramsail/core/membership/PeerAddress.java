package org.marjoramsail.core.membership;

import java.util.Objects;

/**
 * Where a daemon listens for other daemons.
 *
 * @param address an IP number
 * @param port a TCP port
 */
public record PeerAddress(String address, int port) {

  /** Accepts an address that is present. */
  public PeerAddress {
    Objects.requireNonNull(address, "address");
  }

  @Override
  public String toString() {
    return address + ":" + port;
  }
}
