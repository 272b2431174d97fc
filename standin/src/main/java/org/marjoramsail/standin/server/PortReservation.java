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

  /** Holds the port if it is free; the log says if it is not. */
  public PortReservation(String address, int port) {
    try {
      socket.setReuseAddress(true);
      socket.bind(new InetSocketAddress(address, port));
    } catch (IOException taken) {
      LOG.atWarn().addKeyValue("port", port).setCause(taken).log("cannot reserve the port");
    }
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
