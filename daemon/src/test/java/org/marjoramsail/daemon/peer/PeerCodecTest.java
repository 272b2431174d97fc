package org.marjoramsail.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.membership.AckMessage;
import org.marjoramsail.core.membership.Departure;
import org.marjoramsail.core.membership.DigestMessage;
import org.marjoramsail.core.membership.Health;
import org.marjoramsail.core.membership.MemberUpdate;
import org.marjoramsail.core.membership.PeerAddress;
import org.marjoramsail.core.membership.PingMessage;
import org.marjoramsail.core.membership.PingRequestMessage;
import org.marjoramsail.core.membership.StateMessage;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.peer.PeerCodecException.Fault;

final class PeerCodecTest {

  private static final int MAXIMUM_BYTES = 1 << 20;

  private final PeerCodec codec = new PeerCodec(MAXIMUM_BYTES);

  @Property(seed = "4101", tries = 500)
  void anEncodedMessageDecodesToAnEqualMessage(@ForAll("messages") PeerMessage message)
      throws PeerCodecException {
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }

  @Property(seed = "4102", tries = 3000)
  void arbitraryBytesDecodeToAMessageOrFailWithATypedException(@ForAll byte[] body) {
    assertDecodesOrFailsWithTypedException(body);
  }

  @Property(seed = "4103", tries = 3000)
  void aCorruptedMessageDecodesToAMessageOrFailsWithATypedException(
      @ForAll("messages") PeerMessage message, @ForAll long seed) throws PeerCodecException {
    byte[] body = codec.encode(message);
    Random random = new Random(seed);
    for (int corruption = 0; corruption < 3; corruption++) {
      body[random.nextInt(body.length)] = (byte) random.nextInt();
    }
    assertDecodesOrFailsWithTypedException(body);
  }

  @Test
  void aDeclaredStringLengthOfTwoGigabytesIsRejectedBeforeAllocation() {
    byte stringHeader = (byte) 0xdb;
    byte[] body = ByteBuffer.allocate(7).put((byte) 0x92).put((byte) 4).put(stringHeader).array();
    ByteBuffer.wrap(body).putInt(3, Integer.MAX_VALUE);
    assertThatExceptionOfType(PeerCodecException.class)
        .isThrownBy(() -> codec.decode(body))
        .satisfies(e -> assertThat(e.fault()).isEqualTo(Fault.NOT_MESSAGE_PACK));
  }

  @Test
  void anUnknownFieldIsIgnored() throws PeerCodecException {
    // {sequence: 7, updates: [], newer: 1} as a PingMessage.
    byte[] body =
        concatenate(
            new byte[] {(byte) 0x92, 4, (byte) 0x83},
            text("sequence"),
            new byte[] {7},
            text("updates"),
            new byte[] {(byte) 0x90},
            text("newer"),
            new byte[] {1});
    assertThat(codec.decode(body)).isEqualTo(new PingMessage(7, List.of()));
  }

  @Test
  void encodingAMessageAboveTheMaximumSizeFails() {
    PeerCodec limitedCodec = new PeerCodec(16);
    assertThatExceptionOfType(PeerCodecException.class)
        .isThrownBy(() -> limitedCodec.encode(new HelloProof("a proof of more than sixteen bytes")))
        .satisfies(e -> assertThat(e.fault()).isEqualTo(Fault.TOO_LARGE));
  }

  private void assertDecodesOrFailsWithTypedException(byte[] body) {
    try {
      assertThat(codec.decode(body)).isNotNull();
    } catch (PeerCodecException e) {
      assertThat(e.fault()).isNotNull();
    }
  }

  private static byte[] text(String value) {
    byte[] bytes = new byte[value.length() + 1];
    bytes[0] = (byte) (0xa0 | value.length());
    for (int i = 0; i < value.length(); i++) {
      bytes[i + 1] = (byte) value.charAt(i);
    }
    return bytes;
  }

  private static byte[] concatenate(byte[]... parts) {
    ByteBuffer all = ByteBuffer.allocate(256);
    for (byte[] part : parts) {
      all.put(part);
    }
    byte[] bytes = new byte[all.position()];
    all.flip().get(bytes);
    return bytes;
  }

  @Provide
  Arbitrary<PeerMessage> messages() {
    Arbitrary<Long> numbers = Arbitraries.longs();
    Arbitrary<DaemonId> daemons = Combinators.combine(text(), numbers).as(DaemonId::new);
    Arbitrary<List<MemberUpdate>> updates = updates().list().ofMaxSize(5);
    Arbitrary<PeerMessage> pings = Combinators.combine(numbers, updates).as(PingMessage::new);
    Arbitrary<PeerMessage> acks = Combinators.combine(numbers, updates).as(AckMessage::new);
    Arbitrary<PeerMessage> requests =
        Combinators.combine(numbers, daemons, updates).as(PingRequestMessage::new);
    Arbitrary<PeerMessage> digests =
        Combinators.combine(numbers.list().ofMaxSize(64), updates).as(DigestMessage::new);
    Arbitrary<PeerMessage> states =
        Combinators.combine(
                Arbitraries.integers().list().ofMaxSize(9), updates, Arbitraries.of(true, false))
            .as(StateMessage::new);
    Arbitrary<PeerMessage> hellos =
        Combinators.combine(Arbitraries.integers(), daemons, text(), text().optional())
            .as(PeerCodecTest::hello);
    Arbitrary<PeerMessage> closeFrames =
        Arbitraries.of(CloseReason.class).map(reason -> new CloseFrame(reason));
    return Arbitraries.oneOf(List.of(pings, acks, requests, digests, states, hellos, closeFrames));
  }

  private static Hello hello(
      Integer protocol, DaemonId daemon, String value, Optional<String> proof) {
    PeerAddress listening = new PeerAddress(value, protocol);
    return new Hello(protocol, value, daemon, listening, value, value, value, proof);
  }

  private static Arbitrary<String> text() {
    return Arbitraries.strings().alpha().numeric().withChars('ñ', '.', '\u0000').ofMaxLength(40);
  }

  private static Arbitrary<MemberUpdate> updates() {
    return Combinators.combine(
            text(),
            Arbitraries.longs(),
            Arbitraries.integers(),
            Arbitraries.of(Health.class),
            Arbitraries.of(Departure.class),
            text(),
            Arbitraries.integers(),
            text())
        .as(
            (host, incarnation, version, health, departure, address, port, zone) ->
                new MemberUpdate(
                    host, incarnation, version, health, departure, address, port, zone, zone));
  }
}
