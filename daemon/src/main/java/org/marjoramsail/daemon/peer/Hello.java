package org.marjoramsail.daemon.peer;

import java.util.Objects;
import java.util.Optional;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/**
 * First frame in each direction of a connection.
 *
 * @param protocol the version of the protocol between daemons
 * @param cluster the name of the sender's cluster
 * @param daemon the sender's incarnation
 * @param listening the address on which the sender listens
 * @param availabilityZone the availability zone of the sender
 * @param region the region of that availability zone
 * @param nonce a random value, which the proof of the other side covers
 * @param proof the proof of the accepting side; absent from the connecting side, which sends its
 *     proof in a {@link HelloProof}
 */
record Hello(
    int protocol,
    String cluster,
    DaemonId daemon,
    PeerAddress listening,
    String availabilityZone,
    String region,
    String nonce,
    Optional<String> proof)
    implements PeerMessage {

  Hello {
    Objects.requireNonNull(cluster, "cluster");
    Objects.requireNonNull(daemon, "daemon");
    Objects.requireNonNull(daemon.host(), "host");
    Objects.requireNonNull(listening, "listening");
    Objects.requireNonNull(availabilityZone, "availabilityZone");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(nonce, "nonce");
    Objects.requireNonNull(proof, "proof");
  }

  Hello withProof(String newProof) {
    return new Hello(
        protocol,
        cluster,
        daemon,
        listening,
        availabilityZone,
        region,
        nonce,
        Optional.of(newProof));
  }
}
