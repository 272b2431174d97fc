package org.marjoramsail.command.platform;

import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;
import org.marjoramsail.daemon.settings.Endpoint;

/**
 * Chooses the ports of processes that cannot choose their own: below those that the operating
 * system hands out, as a connection might take one of these between the choice and the start.
 */
final class FixedPorts {

  private static final int FIRST_PORT = 20_000;
  private static final int LAST_FIRST_PORT = 31_000;
  private static final int LAST_PORT = 32_000;

  /** Runs that start at the same time choose different ports. */
  private int nextPort = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_FIRST_PORT);

  /**
   * Returns a port of an address on which nothing listens, and that was not returned before.
   *
   * @throws BindException if no port is left
   */
  Endpoint next(String address) throws IOException {
    while (nextPort < LAST_PORT) {
      int port = nextPort++;
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getByName(address))) {
        return new Endpoint(address, socket.getLocalPort());
      } catch (BindException used) {
        // Try the next port.
      }
    }
    throw new BindException("No port of " + address + " up to " + LAST_PORT + " is free.");
  }
}
