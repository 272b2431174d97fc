package org.marjoramsail.daemon.settings;

/**
 * An address and a port.
 *
 * @param address an IP number
 * @param port a TCP port; where a daemon listens, zero lets the system choose one
 */
public record Endpoint(String address, int port) {

  @Override
  public String toString() {
    return address.contains(":") ? "[" + address + "]:" + port : address + ":" + port;
  }
}
