package org.marjoramsail.daemon.peer;

import java.util.Objects;
import java.util.Optional;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/**
 * The first frame each way.
 *
 * @param protocol the version of the protocol between daemons
 * @param cluster the name of the sender's fleet
 * @param daemon the sender's run
 * @param listening where the sender listens
 * @param availabilityZone where the sender runs
 * @param region the region of that availability zone
 * @param nonce random; the other side's proof covers it
 * @param proof of the accepting side, over both nonces; absent from the connecting side, which
 *     proves itself in its next frame
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
