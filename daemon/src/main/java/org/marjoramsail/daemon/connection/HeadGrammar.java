package org.marjoramsail.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;

/**
 * Checks the bytes of a response against the grammar of RFC 9112, up to the end of its head.
 *
 * <p>The decoder accepts lines that break the grammar and alters them: it strips control bytes and
 * ends the name of a field at the first blank. What it makes of such a line is another response
 * than the one that was sent. Heads of interim responses are checked like the final one. The space
 * behind the status may be missing, as RFC 9112 allows a reader to accept.
 */
final class HeadGrammar {

  /** What the next byte belongs to. */
  private enum Part {
    VERSION(HeadRule.VERSION),
    STATUS(HeadRule.STATUS),
    REASON_PHRASE(HeadRule.REASON_PHRASE),
    LINE_BEGIN(HeadRule.FIELD_NAME),
    FIELD_NAME(HeadRule.FIELD_NAME),
    FIELD_VALUE(HeadRule.FIELD_VALUE),
    BODY(HeadRule.FRAMING);

    private final HeadRule rule;

    Part(HeadRule rule) {
      this.rule = rule;
    }
  }

  private static final String VERSION = "HTTP/1.";
  private static final int STATUS_DIGITS = 3;
  private static final int FIRST_STATUS = 100;
  private static final int SWITCHING_PROTOCOLS = 101;
  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /** Digits that a length may have so that it fits into a long. */
  private static final int MAXIMUM_LENGTH_DIGITS = 18;

  /** Number of bytes of a line that are kept, more than a line with a framing has. */
  private static final int MAXIMUM_KEPT_BYTES = 128;

  private static final String TOKEN_SIGNS = "!#$%&'*+-.^_`|~";
  private static final int FIRST_PRINTABLE = 0x20;
  private static final int DELETE = 0x7f;

  private final ByteProcessor processor = this::accept;
  private final byte[] line = new byte[MAXIMUM_KEPT_BYTES];
  private Part part = Part.VERSION;
  private int lineBytes;
  private int partBytes;
  private int status;
  private boolean isOldVersion;
  private boolean isCarriageReturn;
  private boolean isFramed;
  private Optional<HeadRule> broken = Optional.empty();

  /**
   * Checks the bytes that the decoder receives next, which are not read.
   *
   * @throws MalformedHeadException if the head breaks the grammar
   */
  void check(ByteBuf bytes) throws MalformedHeadException {
    if (part == Part.BODY) {
      return;
    }
    bytes.forEachByte(processor);
    if (broken.isPresent()) {
      throw new MalformedHeadException(broken.get(), quotedLine());
    }
  }

  /** Handles a byte; returns whether the next one belongs to the head, too. */
  private boolean accept(byte signed) {
    int next = signed & 0xff;
    if (lineBytes < MAXIMUM_KEPT_BYTES) {
      line[lineBytes] = signed;
    }
    lineBytes++;
    boolean isValid = isCarriageReturn ? next == '\n' && endLine() : acceptInPart(next);
    if (!isValid && broken.isEmpty()) {
      broken = Optional.of(part.rule);
    }
    return broken.isEmpty() && part != Part.BODY;
  }

  private boolean acceptInPart(int next) {
    return switch (part) {
      case VERSION -> acceptInVersion(next);
      case STATUS -> acceptInStatus(next);
      case REASON_PHRASE, FIELD_VALUE -> acceptInText(next);
      case LINE_BEGIN -> isLineEnd(next) ? acceptLineEnd(next) : acceptInName(next);
      case FIELD_NAME -> acceptInName(next);
      case BODY -> true;
    };
  }

  private boolean acceptInVersion(int next) {
    int position = partBytes++;
    if (position < VERSION.length()) {
      return next == VERSION.charAt(position);
    }
    if (position == VERSION.length()) {
      isOldVersion = next == '0';
      return next == '0' || next == '1';
    }
    if (next != ' ') {
      return false;
    }
    begin(Part.STATUS);
    return true;
  }

  private boolean acceptInStatus(int next) {
    if (partBytes < STATUS_DIGITS) {
      partBytes++;
      status = status * 10 + (next - '0');
      return next >= '0' && next <= '9';
    }
    if (status < FIRST_STATUS || status > LAST_STATUS) {
      return false;
    }
    if (isLineEnd(next)) {
      return acceptLineEnd(next);
    }
    if (next != ' ') {
      return false;
    }
    begin(Part.REASON_PHRASE);
    return true;
  }

  private boolean acceptInName(int next) {
    if (next == ':' && part == Part.FIELD_NAME) {
      begin(Part.FIELD_VALUE);
      return true;
    }
    part = Part.FIELD_NAME;
    return isTokenCharacter(next);
  }

  private boolean acceptInText(int next) {
    return isLineEnd(next)
        ? acceptLineEnd(next)
        : next == '\t' || (next >= FIRST_PRINTABLE && next != DELETE);
  }

  private static boolean isTokenCharacter(int next) {
    return (next >= 'a' && next <= 'z')
        || (next >= 'A' && next <= 'Z')
        || (next >= '0' && next <= '9')
        || TOKEN_SIGNS.indexOf(next) >= 0;
  }

  private static boolean isLineEnd(int next) {
    return next == '\r' || next == '\n';
  }

  private boolean acceptLineEnd(int next) {
    isCarriageReturn = next == '\r';
    if (!isCarriageReturn) {
      broken = Optional.of(HeadRule.LINE_END);
    }
    return isCarriageReturn;
  }

  private boolean endLine() {
    isCarriageReturn = false;
    if (part == Part.LINE_BEGIN) {
      endHead();
      return true;
    }
    if (part == Part.FIELD_VALUE && !isFramingValid()) {
      broken = Optional.of(HeadRule.FRAMING);
      return false;
    }
    begin(Part.LINE_BEGIN);
    lineBytes = 0;
    return true;
  }

  private void endHead() {
    boolean isFinal = status >= FIRST_FINAL_STATUS || status == SWITCHING_PROTOCOLS;
    begin(isFinal ? Part.BODY : Part.VERSION);
    lineBytes = 0;
    status = 0;
    isFramed = false;
  }

  /** Returns whether the line of a field states no framing, or the only one of its head. */
  private boolean isFramingValid() {
    String text = keptLine();
    int colon = text.indexOf(':');
    String name = text.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT);
    boolean isLength = name.equals("content-length");
    if (!isLength && !name.equals("transfer-encoding")) {
      return true;
    }
    String value = text.substring(colon + 1).strip();
    boolean isOnly = !isFramed && lineBytes <= MAXIMUM_KEPT_BYTES;
    isFramed = true;
    return isOnly && (isLength ? isLength(value) : isChunked(value));
  }

  private static boolean isLength(String value) {
    return !value.isEmpty()
        && value.length() <= MAXIMUM_LENGTH_DIGITS
        && value.chars().allMatch(digit -> digit >= '0' && digit <= '9');
  }

  private boolean isChunked(String value) {
    return !isOldVersion && value.equalsIgnoreCase("chunked");
  }

  private void begin(Part next) {
    part = next;
    partBytes = 0;
  }

  private String keptLine() {
    return new String(
        line, 0, Math.min(lineBytes, MAXIMUM_KEPT_BYTES), StandardCharsets.ISO_8859_1);
  }

  private String quotedLine() {
    StringBuilder quoted = new StringBuilder();
    for (char character : keptLine().toCharArray()) {
      if (character < FIRST_PRINTABLE || character >= DELETE) {
        quoted.append(String.format(Locale.ROOT, "\\x%02x", (int) character));
      } else {
        quoted.append(character);
      }
    }
    return quoted.toString();
  }
}
