package org.marjoramsail.daemon.peer;

import java.util.Objects;
import org.marjoramsail.core.message.PeerMessage;

/**
 * The connecting side's proof that it holds the cluster key.
 *
 * @param proof over both nonces
 */
record HelloProof(String proof) implements PeerMessage {

  HelloProof {
    Objects.requireNonNull(proof, "proof");
  }
}
