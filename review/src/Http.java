import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Reads and writes HTTP/1.1 messages on plain sockets. */
final class Http {

  /** The head of a message: its first line and its headers. */
  static final class Head {
    String first;
    final List<String[]> headers = new ArrayList<>();

    String get(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    String word(int index) {
      return first.split(" ", 3)[index];
    }

    int status() {
      return Integer.parseInt(word(1));
    }
  }

  private Http() {}

  static String line(InputStream in) throws IOException {
    StringBuilder out = new StringBuilder();
    while (true) {
      int c = in.read();
      if (c < 0) {
        throw new EOFException("channel ended");
      }
      if (c == '\n') {
        int length = out.length();
        if (length > 0 && out.charAt(length - 1) == '\r') {
          out.setLength(length - 1);
        }
        return out.toString();
      }
      out.append((char) c);
    }
  }

  static Head head(InputStream in) throws IOException {
    Head head = new Head();
    head.first = line(in);
    while (true) {
      String line = line(in);
      if (line.isEmpty()) {
        return head;
      }
      int colon = line.indexOf(':');
      head.headers.add(
          new String[] {line.substring(0, colon).strip(), line.substring(colon + 1).strip()});
    }
  }

  static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("body ended after " + bytes.length + " of " + length + " bytes");
    }
    return bytes;
  }

  /** Reads a body that has a length or comes in chunks; empty if the head states neither. */
  static byte[] body(InputStream in, Head head) throws IOException {
    String coding = head.get("transfer-encoding");
    if (coding != null && coding.toLowerCase(Locale.ROOT).contains("chunked")) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      while (true) {
        byte[] chunk = chunk(in);
        if (chunk == null) {
          return out.toByteArray();
        }
        out.write(chunk);
      }
    }
    String length = head.get("content-length");
    return length == null ? new byte[0] : exactly(in, Integer.parseInt(length));
  }

  /** Reads one chunk; null after the last one. */
  static byte[] chunk(InputStream in) throws IOException {
    int size = Integer.parseInt(line(in).split(";")[0].strip(), 16);
    if (size == 0) {
      while (!line(in).isEmpty()) {
        continue;
      }
      return null;
    }
    byte[] bytes = exactly(in, size);
    line(in);
    return bytes;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }
}
