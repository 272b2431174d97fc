import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** The platform's store: objects by kind and name, lists, watches and conditional writes. */
final class Store {

  private record Change(String kind, long revision, Map<String, Object> object, boolean removed) {}

  private static final int PAGE_BYTES = 1 << 20;

  private final ServerSocket socket;
  private final Map<String, TreeMap<String, Map<String, Object>>> objects = new HashMap<>();
  private final List<Change> history = new ArrayList<>();
  private long revision = 100;

  Store() throws IOException {
    socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Stand.thread("store", this::accept);
  }

  int port() {
    return socket.getLocalPort();
  }

  /** Writes an object as an operator or a server does; the return is the acknowledgement. */
  synchronized void put(String kind, String name, Object spec) {
    TreeMap<String, Map<String, Object>> ofKind =
        objects.computeIfAbsent(kind, unused -> new TreeMap<>());
    Map<String, Object> before = ofKind.get(name);
    revision++;
    Map<String, Object> metadata = new LinkedHashMap<>();
    metadata.put("name", name);
    metadata.put("revision", revision);
    metadata.put("created", before == null ? revision : metadata(before).get("created"));
    metadata.put("finalizers", List.of());
    metadata.put("deleting", false);
    Map<String, Object> object = new LinkedHashMap<>();
    object.put("metadata", metadata);
    object.put("spec", spec);
    object.put("status", null);
    ofKind.put(name, object);
    history.add(new Change(kind, revision, object, false));
    notifyAll();
  }

  synchronized void remove(String kind, String name) {
    Map<String, Object> gone = objects.getOrDefault(kind, new TreeMap<>()).remove(name);
    if (gone != null) {
      revision++;
      history.add(new Change(kind, revision, gone, true));
      notifyAll();
    }
  }

  private static Map<String, Object> metadata(Map<String, Object> object) {
    return Json.object(object.get("metadata"));
  }

  private void accept() {
    while (true) {
      try {
        Socket open = socket.accept();
        Stand.thread("store-channel", () -> serve(open));
      } catch (IOException ended) {
        return;
      }
    }
  }

  private void serve(Socket open) {
    try (open) {
      open.setTcpNoDelay(true);
      InputStream in = new BufferedInputStream(open.getInputStream());
      OutputStream out = open.getOutputStream();
      while (true) {
        Http.Head head = Http.head(in);
        byte[] body = Http.body(in, head);
        Thread.sleep(4);
        answer(out, head, body);
      }
    } catch (IOException | InterruptedException ended) {
      return;
    }
  }

  private void answer(OutputStream out, Http.Head head, byte[] body)
      throws IOException, InterruptedException {
    String[] target = head.word(1).split("\\?", 2);
    Map<String, String> query = query(target.length > 1 ? target[1] : "");
    String[] path = target[0].substring("/objects/".length()).split("/", 2);
    String name = path.length > 1 ? path[1] : null;
    int status = 200;
    Object answer;
    synchronized (this) {
      TreeMap<String, Map<String, Object>> ofKind =
          objects.getOrDefault(path[0], new TreeMap<>());
      if (!head.word(0).equals("GET")) {
        Map<String, Object> given =
            body.length == 0
                ? Map.of()
                : Json.object(Json.parse(new String(body, StandardCharsets.UTF_8)));
        Map<String, Object> metadata = Json.object(given.get("metadata"));
        boolean creates = head.word(0).equals("POST");
        String written = name != null ? name : String.valueOf(metadata.get("name"));
        Map<String, Object> current = ofKind.get(written);
        Object expected = metadata.getOrDefault("revision", query.get("revision"));
        String wanted = expected instanceof Json.Num number ? number.text() : (String) expected;
        if (current != null
            && (creates
                || (wanted != null
                    && !wanted.equals(metadata(current).get("revision").toString())))) {
          status = 409;
          answer = current;
        } else if (current == null && !creates) {
          status = 404;
          answer = Map.of();
        } else if (head.word(0).equals("DELETE")) {
          remove(path[0], written);
          answer = current;
        } else {
          put(path[0], written, given.get("spec"));
          answer = objects.get(path[0]).get(written);
          status = creates ? 201 : 200;
        }
      } else if (name != null) {
        answer = ofKind.get(name);
        status = answer == null ? 404 : 200;
      } else if (query.containsKey("watch")) {
        answer =
            changes(
                path[0],
                Long.parseLong(query.get("watch")),
                Long.parseLong(query.getOrDefault("wait_ms", "0")));
      } else {
        Map<String, Object> page = new LinkedHashMap<>();
        List<Object> items = new ArrayList<>();
        int size = 0;
        boolean truncated = false;
        for (Map<String, Object> object :
            ofKind.tailMap(query.getOrDefault("after", ""), false).values()) {
          int length = Json.write(object).length();
          truncated = !items.isEmpty() && (items.size() == 500 || size + length > PAGE_BYTES);
          if (truncated) {
            break;
          }
          items.add(object);
          size += length;
        }
        page.put("items", items);
        page.put("truncated", truncated);
        page.put("store_revision", revision);
        answer = page;
      }
    }
    byte[] bytes =
        (answer == null ? "{}" : Json.write(answer)).getBytes(StandardCharsets.UTF_8);
    String start =
        "HTTP/1.1 "
            + status
            + " Answer\r\nContent-Type: application/json\r\nContent-Length: "
            + bytes.length
            + "\r\n\r\n";
    byte[] first = Http.bytes(start);
    byte[] whole = new byte[first.length + bytes.length];
    System.arraycopy(first, 0, whole, 0, first.length);
    System.arraycopy(bytes, 0, whole, first.length, bytes.length);
    out.write(whole);
    out.flush();
  }

  private synchronized Object changes(String kind, long since, long waitMillis)
      throws InterruptedException {
    long until = Stand.millis() + waitMillis;
    while (true) {
      List<Object> events = new ArrayList<>();
      for (Change change : history) {
        if (change.kind().equals(kind) && change.revision() > since) {
          Map<String, Object> event = new LinkedHashMap<>();
          event.put("removed", change.removed());
          event.put("object", change.object());
          events.add(event);
        }
      }
      long left = until - Stand.millis();
      if (!events.isEmpty() || left <= 0) {
        Map<String, Object> answer = new LinkedHashMap<>();
        answer.put("events", events);
        answer.put("store_revision", revision);
        return answer;
      }
      wait(left);
    }
  }

  private static Map<String, String> query(String text) {
    Map<String, String> query = new HashMap<>();
    for (String part : text.split("&")) {
      String[] pair = part.split("=", 2);
      if (pair.length == 2) {
        query.put(pair[0], URLDecoder.decode(pair[1], StandardCharsets.UTF_8));
      }
    }
    return query;
  }
}
