package org.marjoramsail.daemon.peer;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.Optional;
import java.util.random.RandomGenerator;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;
import org.marjoramsail.core.membership.PeerAddress;

/**
 * Mutual authentication of two daemons by their cluster key, and validation of their hello frames.
 *
 * <p>A proof is an HMAC over both hello frames, with their nonces, and the role of the prover. This
 * guards against replay on another connection and against reflection to the side that sent it.
 */
final class Handshake {

  static final int PROTOCOL = 1;

  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;

  /** Side of a connection. */
  enum Role {
    CONNECTING,
    ACCEPTING
  }

  private final PeerSettings settings;
  private final RandomGenerator random;

  /** Creates an instance; {@code random} must be cryptographically secure. */
  Handshake(PeerSettings settings, RandomGenerator random) {
    this.settings = settings;
    this.random = random;
  }

  Hello hello(int listeningPort) {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return new Hello(
        PROTOCOL,
        settings.cluster(),
        settings.self(),
        new PeerAddress(settings.listenAddress(), listeningPort),
        settings.availabilityZone(),
        settings.region(),
        HexFormat.of().formatHex(nonce),
        Optional.empty());
  }

  /** Returns the reason to refuse a daemon by its hello frame, before it is authenticated. */
  Optional<CloseReason> refusal(Hello other) {
    if (other.protocol() != PROTOCOL) {
      return Optional.of(CloseReason.OTHER_PROTOCOL);
    }
    if (!other.cluster().equals(settings.cluster())) {
      return Optional.of(CloseReason.OTHER_CLUSTER);
    }
    if (other.daemon().equals(settings.self())) {
      return Optional.of(CloseReason.OWN_ADDRESS);
    }
    return Optional.empty();
  }

  String proof(Role prover, Hello connecting, Hello accepting) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      byte[] key = settings.clusterKey().getBytes(StandardCharsets.UTF_8);
      mac.init(new SecretKeySpec(key, ALGORITHM));
      update(mac, prover.name());
      update(mac, connecting);
      update(mac, accepting);
      return HexFormat.of().formatHex(mac.doFinal());
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("Every Java platform has " + ALGORITHM + ".", e);
    }
  }

  boolean isProven(String proof, Role prover, Hello connecting, Hello accepting) {
    byte[] expected = proof(prover, connecting, accepting).getBytes(StandardCharsets.UTF_8);
    return MessageDigest.isEqual(expected, proof.getBytes(StandardCharsets.UTF_8));
  }

  private static void update(Mac mac, Hello hello) {
    update(mac, Integer.toString(hello.protocol()));
    update(mac, hello.cluster());
    update(mac, hello.daemon().toString());
    update(mac, hello.listening().toString());
    update(mac, hello.availabilityZone());
    update(mac, hello.region());
    update(mac, hello.nonce());
  }

  private static void update(Mac mac, String text) {
    byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
    mac.update(ByteBuffer.allocate(Integer.BYTES).putInt(bytes.length).array());
    mac.update(bytes);
  }
}
