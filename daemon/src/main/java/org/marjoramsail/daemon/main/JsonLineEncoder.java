package org.marjoramsail.daemon.main;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/**
 * Writes a log line as one JSON object, with its key-value pairs as fields of their own.
 *
 * <p>Values are written by a streaming generator, which needs no reflection at the start of the
 * process and no tree for each line.
 */
final class JsonLineEncoder extends EncoderBase<ILoggingEvent> {

  private static final int USUAL_LINE_BYTES = 512;
  private static final byte[] NOTHING = {};

  private final JsonFactory factory = new JsonFactory();

  @Override
  public byte[] headerBytes() {
    return NOTHING;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(USUAL_LINE_BYTES);
    try (JsonGenerator line = factory.createGenerator(bytes)) {
      line.writeStartObject();
      writeEvent(line, event);
      line.writeEndObject();
    } catch (IOException impossible) {
      throw new UncheckedIOException("Memory cannot be written to.", impossible);
    }
    bytes.write('\n');
    return bytes.toByteArray();
  }

  @Override
  public byte[] footerBytes() {
    return NOTHING;
  }

  private static void writeEvent(JsonGenerator line, ILoggingEvent event) throws IOException {
    line.writeStringField("@timestamp", event.getInstant().toString());
    line.writeStringField("message", event.getFormattedMessage());
    line.writeStringField("logger_name", event.getLoggerName());
    line.writeStringField("thread_name", event.getThreadName());
    line.writeStringField("level", event.getLevel().toString());
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    if (pairs != null) {
      for (KeyValuePair pair : pairs) {
        line.writeFieldName(pair.key);
        writeValue(line, pair.value);
      }
    }
    if (event.getThrowableProxy() != null) {
      line.writeStringField("stack_trace", ThrowableProxyUtil.asString(event.getThrowableProxy()));
    }
  }

  private static void writeValue(JsonGenerator line, Object value) throws IOException {
    if (value instanceof Integer || value instanceof Long) {
      line.writeNumber(((Number) value).longValue());
    } else if (value instanceof Number number) {
      line.writeNumber(number.doubleValue());
    } else if (value instanceof Boolean flag) {
      line.writeBoolean(flag);
    } else if (value instanceof Collection<?> entries) {
      line.writeStartArray();
      for (Object entry : entries) {
        writeValue(line, entry);
      }
      line.writeEndArray();
    } else {
      line.writeString(String.valueOf(value));
    }
  }
}
