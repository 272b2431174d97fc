package org.marjoramsail.daemon.peer;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.daemon.peer.PeerCodecException.Fault;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Encodes and decodes messages as MessagePack bodies of the form {@code [type number, record]}.
 *
 * <p>Unknown fields are ignored, so that a newer version can add fields. Safe for use by several
 * threads.
 */
public final class PeerCodec {

  private final int maximumBytes;
  private final ObjectMapper mapper;

  /** Creates an instance with the maximum size of a body, in bytes. */
  public PeerCodec(int maximumBytes) {
    this.maximumBytes = maximumBytes;
    this.mapper =
        new ObjectMapper(new MessagePackFactory())
            .registerModule(new Jdk8Module())
            .setSerializationInclusion(JsonInclude.Include.NON_ABSENT)
            .setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE)
            .setVisibility(PropertyAccessor.GETTER, JsonAutoDetect.Visibility.NONE)
            .setVisibility(PropertyAccessor.FIELD, JsonAutoDetect.Visibility.ANY)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  /** Encodes a message as a body. */
  public byte[] encode(PeerMessage message) throws PeerCodecException {
    PeerMessageType type = PeerMessageType.ofClass(message.getClass());
    byte[] body = write(type, message);
    if (body.length > maximumBytes) {
      throw new PeerCodecException(
          Fault.TOO_LARGE, body.length, type + " may have at most " + maximumBytes + " bytes");
    }
    return body;
  }

  /** Decodes a body. */
  public PeerMessage decode(byte[] body) throws PeerCodecException {
    if (body.length == 0) {
      throw new PeerCodecException(Fault.EMPTY, 0, "the body must not be empty");
    }
    if (body.length > maximumBytes) {
      throw new PeerCodecException(
          Fault.TOO_LARGE, body.length, "at most " + maximumBytes + " bytes are allowed");
    }
    checkLengths(body);
    return read(body);
  }

  private byte[] write(PeerMessageType type, PeerMessage message) throws PeerCodecException {
    try {
      return mapper.writeValueAsBytes(new Object[] {type.number(), message});
    } catch (JsonProcessingException e) {
      throw new PeerCodecException(Fault.NOT_ENCODABLE, 0, type.toString(), e);
    }
  }

  /**
   * Checks that every declared length lies within the body.
   *
   * <p>This guards against exhaustion of the heap: the parser allocates a declared string length of
   * up to two gigabytes before it finds the body too short. Skipping over the values allocates
   * nothing.
   */
  private static void checkLengths(byte[] body) throws PeerCodecException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(body)) {
      unpacker.skipValue();
      if (unpacker.hasNext()) {
        throw new PeerCodecException(
            Fault.NOT_MESSAGE_PACK, body.length, "bytes follow the message");
      }
    } catch (IOException | MessagePackException e) {
      throw new PeerCodecException(
          Fault.NOT_MESSAGE_PACK,
          body.length,
          "the body is truncated or declares an invalid length",
          e);
    }
  }

  private PeerMessage read(byte[] body) throws PeerCodecException {
    try (JsonParser parser = mapper.createParser(body)) {
      if (parser.nextToken() != JsonToken.START_ARRAY
          || parser.nextToken() != JsonToken.VALUE_NUMBER_INT) {
        throw new PeerCodecException(
            Fault.NOT_A_MESSAGE, body.length, "the body is not [type number, record]");
      }
      PeerMessageType type = typeOf(parser.getIntValue(), body);
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new PeerCodecException(Fault.NOT_A_MESSAGE, body.length, type + " has no record");
      }
      PeerMessage message = mapper.readValue(parser, type.message());
      if (parser.nextToken() != JsonToken.END_ARRAY) {
        throw new PeerCodecException(
            Fault.NOT_A_MESSAGE, body.length, type + " has data after its record");
      }
      return message;
    } catch (IOException | RuntimeException e) {
      // The parser also throws unchecked exceptions for some malformed bodies.
      throw new PeerCodecException(
          Fault.OTHER_FIELDS, body.length, "the fields do not match the record", e);
    }
  }

  private static PeerMessageType typeOf(int number, byte[] body) throws PeerCodecException {
    return PeerMessageType.ofNumber(number)
        .orElseThrow(
            () ->
                new PeerCodecException(
                    Fault.UNKNOWN_TYPE, body.length, "no message type has the number " + number));
  }
}
