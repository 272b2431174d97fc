package org.marjoramsail.daemon.peer;

import java.util.Objects;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Second frame of the connecting side, which proves that it holds the cluster key.
 *
 * @param proof an HMAC over both hello frames; see {@link Handshake}
 */
record HelloProof(String proof) implements PeerMessage {

  HelloProof {
    Objects.requireNonNull(proof, "proof");
  }
}
