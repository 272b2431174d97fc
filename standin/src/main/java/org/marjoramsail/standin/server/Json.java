package org.marjoramsail.standin.server;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;

/** Turns the records of the stand-ins' protocols into JSON and back. */
public final class Json {

  private final ObjectMapper mapper =
      JsonMapper.builder()
          .addModule(new Jdk8Module())
          .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
          .build();

  /** Reads a body; nothing if it is not JSON of that type. */
  public <T> Optional<T> read(Buffer body, Class<T> type) {
    try {
      return Optional.ofNullable(mapper.readValue(body.getBytes(), type));
    } catch (IOException malformed) {
      return Optional.empty();
    }
  }

  /** Writes a record as JSON. */
  public Buffer write(Object value) {
    try {
      return Buffer.buffer(mapper.writeValueAsBytes(value));
    } catch (JsonProcessingException impossible) {
      throw new UncheckedIOException(impossible);
    }
  }
}
