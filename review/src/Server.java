import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A server of a service, on a port of its own; what it does with a request is given. */
final class Server {

  /** One request at a server. */
  static final class Call {
    final Server server;
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    final Http.Head head;
    final byte[] body;
    final int channel;

    Call(Server server, Socket socket, InputStream in, OutputStream out, Http.Head head,
        byte[] body, int channel) {
      this.server = server;
      this.socket = socket;
      this.in = in;
      this.out = out;
      this.head = head;
      this.body = body;
      this.channel = channel;
    }

    String method() {
      return head.word(0);
    }

    String path() {
      return head.word(1);
    }

    String attempt() {
      return head.get("attempt-id");
    }

    void write(String text) throws IOException {
      out.write(Http.bytes(text));
      out.flush();
    }

    /** Answers as a server does that has run the request. */
    void answer(int status, String body) throws IOException {
      write(response(status, body, "Response-Seal: seal." + server.id + "." + attempt() + "\r\n"));
    }

    /** Answers that the request was not run. */
    void reject(int status) throws IOException {
      write(response(status, "", "Not-Executed: 1\r\n"));
    }

    String response(int status, String body, String moreHeaders) {
      return "HTTP/1.1 " + status + " Answer\r\n"
          + (attempt() == null ? "" : "Attempt-Id: " + attempt() + "\r\n")
          + moreHeaders + "Keep-Alive: timeout=10\r\nContent-Length: " + body.length()
          + "\r\n\r\n" + body;
    }
  }

  /** What a server does with a request. */
  interface Handler {
    void handle(Call call) throws IOException, InterruptedException;
  }

  private static final AtomicInteger CHANNELS = new AtomicInteger();

  final String id;
  final String service;
  private final ServerSocket socket;
  private final Handler handler;
  private final Set<Socket> open = ConcurrentHashMap.newKeySet();
  private volatile boolean ended;
  volatile String stage = null;
  volatile int slots = 8;
  volatile long born = 0;

  Server(String id, String service, Handler handler) throws IOException {
    this(id, service, 0, handler);
  }

  Server(String id, String service, int port, Handler handler) throws IOException {
    this.id = id;
    this.service = service;
    this.handler = handler;
    socket = new ServerSocket();
    socket.setReuseAddress(true);
    socket.bind(new java.net.InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 200);
    Stand.thread("server", this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  /** The entry that the server writes into the store. */
  Map<String, Object> entry(String state) {
    Map<String, Object> entry = new LinkedHashMap<>();
    entry.put("service", service);
    entry.put("address", "127.0.0.1:" + port());
    entry.put("zone", "zone-a");
    entry.put("version", "v1");
    entry.put("slots", slots);
    entry.put("state", state);
    entry.put("cold_left_ms", 0);
    if (stage != null) {
      entry.put("stage", stage);
      Map<String, Object> model = new LinkedHashMap<>();
      model.put("name", "m");
      model.put("version", 1);
      model.put("adapters", List.of());
      entry.put("models", List.of(model));
    }
    if (born > 0) {
      entry.put("born", born);
    }
    entry.put("sequence", 1);
    return entry;
  }

  /** Ends as a process does: channels and port close. */
  void end() {
    ended = true;
    try {
      socket.close();
      for (Socket channel : open) {
        channel.close();
      }
    } catch (IOException unused) {
      return;
    }
  }

  private void accept() {
    while (!ended) {
      try {
        Socket accepted = socket.accept();
        open.add(accepted);
        Stand.thread("server-channel", () -> serve(accepted));
      } catch (IOException closed) {
        return;
      }
    }
  }

  private void serve(Socket channel) {
    int number = CHANNELS.incrementAndGet();
    try (channel) {
      channel.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(channel.getInputStream());
      OutputStream out = channel.getOutputStream();
      while (true) {
        Http.Head head = Http.head(in);
        byte[] body = Http.body(in, head);
        Call call = new Call(this, channel, in, out, head, body, number);
        String expected = head.get("expect-instance");
        if (expected != null && !expected.equals(id)) {
          call.write(call.response(421, "", "Instance-Id: " + id + "\r\n"));
        } else {
          handler.handle(call);
        }
      }
    } catch (IOException | InterruptedException closed) {
      return;
    } finally {
      open.remove(channel);
    }
  }
}
