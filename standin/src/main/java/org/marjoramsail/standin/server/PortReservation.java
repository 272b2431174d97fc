package org.marjoramsail.standin.server;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Holds a local port without listening while the process that it belongs to counts as down.
 *
 * <p>Guards against another socket of the machine getting the port in the meantime: the process
 * could then never come back. A bound socket that does not listen refuses all who connect.
 */
public final class PortReservation implements AutoCloseable {

  private static final Logger LOG = LoggerFactory.getLogger(PortReservation.class);

  private final Socket socket = new Socket();
  private final boolean held;

  /** Holds the port if it is free; {@link #isHeld()} and the log say if it is not. */
  public PortReservation(String address, int port) {
    held = bind(new InetSocketAddress(address, port));
  }

  private boolean bind(InetSocketAddress address) {
    try {
      socket.setReuseAddress(true);
      socket.bind(address);
      return true;
    } catch (IOException taken) {
      LOG.atInfo().addKeyValue("address", address).setCause(taken).log("cannot reserve the port");
      return false;
    }
  }

  /** Returns whether the port was free, so that no other socket can get it. */
  public boolean isHeld() {
    return held;
  }

  /** Lets go of the port. */
  @Override
  public void close() {
    try {
      socket.close();
    } catch (IOException failure) {
      LOG.atDebug().setCause(failure).log("reserved port closed with an error");
    }
  }
}
