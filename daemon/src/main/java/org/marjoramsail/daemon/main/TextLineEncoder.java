package org.marjoramsail.daemon.main;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.core.encoder.EncoderBase;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.slf4j.event.KeyValuePair;

/** Writes a log line as readable text: time, level, logger, message and key-value pairs. */
final class TextLineEncoder extends EncoderBase<ILoggingEvent> {

  private static final byte[] NOTHING = {};

  @Override
  public byte[] headerBytes() {
    return NOTHING;
  }

  @Override
  public byte[] encode(ILoggingEvent event) {
    StringBuilder line = new StringBuilder();
    line.append(event.getInstant()).append(' ');
    line.append(event.getLevel()).append(' ');
    line.append(simpleName(event.getLoggerName())).append(' ');
    line.append(event.getFormattedMessage());
    List<KeyValuePair> pairs = event.getKeyValuePairs();
    if (pairs != null) {
      pairs.forEach(
          pair -> line.append(' ').append(pair.key).append("=\"").append(pair.value).append('"'));
    }
    line.append('\n');
    if (event.getThrowableProxy() != null) {
      line.append(ThrowableProxyUtil.asString(event.getThrowableProxy()));
    }
    return line.toString().getBytes(StandardCharsets.UTF_8);
  }

  @Override
  public byte[] footerBytes() {
    return NOTHING;
  }

  private static String simpleName(String logger) {
    return logger.substring(logger.lastIndexOf('.') + 1);
  }
}
