package org.marjoramsail.daemon.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.discovery.ListingPart;
import org.marjoramsail.core.discovery.ListingRequestMessage;
import org.marjoramsail.core.discovery.ListingResponseMessage;
import org.marjoramsail.core.discovery.ListingSection;
import org.marjoramsail.core.membership.PingMessage;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;

/** Messages of daemons whose software does not have the newest fields. */
class EarlierVersionMessageTest {

  private final PeerCodec codec = new PeerCodec(1 << 20);

  /** Guards against an update of the software in which daemons close each other's connections. */
  @Test
  void aPingWithoutAVersionOfTheConfigurationIsRead() throws Exception {
    MessageBufferPacker packer = message(PeerMessageType.PING);
    packer.packMapHeader(2).packString("sequence").packLong(5);
    packer.packString("updates").packArrayHeader(0);

    assertThat(codec.decode(packer.toByteArray())).isEqualTo(new PingMessage(5, List.of(), 0));
  }

  @Test
  void aRequestWithoutANumberAsksForAResponseInOneMessage() throws Exception {
    MessageBufferPacker packer = message(PeerMessageType.LISTING_QUESTION);
    packer.packMapHeader(1).packString("atMillis").packLong(5);

    assertThat(codec.decode(packer.toByteArray()))
        .isEqualTo(new ListingRequestMessage(5, 0, EnumSet.noneOf(ListingSection.class)));
  }

  @Test
  void aResponseWithoutAPieceHasDocuments() throws Exception {
    MessageBufferPacker packer = message(PeerMessageType.LISTING_ANSWER);
    packer.packMapHeader(2).packString("routes").packArrayHeader(0);
    packer.packString("upstreams").packArrayHeader(0);

    assertThat(codec.decode(packer.toByteArray()))
        .isEqualTo(new ListingResponseMessage(List.of(), List.of(), Optional.empty()));
  }

  @Test
  void aPieceOfAResponseIsReadAsItWasSent() throws Exception {
    ListingResponseMessage sent =
        ListingResponseMessage.ofPart(
            new ListingPart(7, ListingSection.UPSTREAMS, 1, 2, "content"));

    assertThat(codec.decode(codec.encode(sent))).isEqualTo(sent);
  }

  private static MessageBufferPacker message(PeerMessageType type) throws Exception {
    MessageBufferPacker packer = MessagePack.newDefaultBufferPacker();
    packer.packArrayHeader(2).packInt(type.number());
    return packer;
  }
}
