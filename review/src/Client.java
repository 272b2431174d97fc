import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** A client on a channel of its own. */
final class Client implements AutoCloseable {

  /**
   * What a client has seen.
   *
   * @param status the status; 0 if there was no head of an answer
   * @param complete whether the body came to its end
   * @param note why it ended, if it was not complete
   */
  record Answer(int status, Http.Head head, byte[] body, boolean complete, String note) {

    String header(String name) {
      return head == null ? null : head.get(name);
    }

    @Override
    public String toString() {
      return (status == 0 ? "no answer" : "status " + status)
          + (complete ? "" : ", incomplete: " + note)
          + (header("response-seal") == null ? "" : ", seal " + header("response-seal"));
    }
  }

  private final Socket socket = new Socket();
  private final InputStream in;
  private final OutputStream out;

  Client(int port) throws IOException {
    socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
    socket.setTcpNoDelay(true);
    in = new BufferedInputStream(socket.getInputStream());
    out = socket.getOutputStream();
  }

  void send(byte[] bytes) throws IOException {
    out.write(bytes);
    out.flush();
  }

  void request(String method, String path, String host, String attempt, long deadlineMillis,
      String moreHeaders, byte[] body) throws IOException {
    String head =
        method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " + attempt
            + "\r\nDeadline-Ms: " + deadlineMillis + "\r\n" + moreHeaders
            + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n";
    ByteArrayOutputStream whole = new ByteArrayOutputStream();
    whole.write(Http.bytes(head));
    whole.write(body);
    send(whole.toByteArray());
  }

  Answer answer(long withinMillis) {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    Http.Head head = null;
    long until = Stand.millis() + withinMillis;
    try {
      socket.setSoTimeout((int) Math.max(1, withinMillis));
      head = Http.head(in);
      String coding = head.get("transfer-encoding");
      if (coding != null && coding.contains("chunked")) {
        while (true) {
          socket.setSoTimeout((int) Math.max(1, until - Stand.millis()));
          byte[] chunk = Http.chunk(in);
          if (chunk == null) {
            break;
          }
          body.write(chunk);
        }
      } else if (head.get("content-length") != null) {
        int length = Integer.parseInt(head.get("content-length"));
        while (body.size() < length) {
          socket.setSoTimeout((int) Math.max(1, until - Stand.millis()));
          byte[] part = new byte[Math.min(65_536, length - body.size())];
          int read = in.read(part);
          if (read < 0) {
            throw new IOException("channel ended");
          }
          body.write(part, 0, read);
        }
      }
      return new Answer(head.status(), head, body.toByteArray(), true, "");
    } catch (SocketTimeoutException late) {
      return new Answer(
          head == null ? 0 : head.status(), head, body.toByteArray(), false, "time passed");
    } catch (IOException | RuntimeException broken) {
      return new Answer(
          head == null ? 0 : head.status(), head, body.toByteArray(), false, broken.toString());
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Sends one request on a new channel and waits for its answer. */
  static Answer call(int port, String method, String path, String host, String attempt,
      long deadlineMillis, String moreHeaders, byte[] body) {
    try (Client client = new Client(port)) {
      try {
        client.request(method, path, host, attempt, deadlineMillis, moreHeaders, body);
      } catch (IOException refused) {
        // The daemon may answer before it has read the body; the answer is read all the same.
      }
      return client.answer(deadlineMillis + 1_000);
    } catch (IOException broken) {
      return new Answer(0, null, new byte[0], false, broken.toString());
    }
  }
}
