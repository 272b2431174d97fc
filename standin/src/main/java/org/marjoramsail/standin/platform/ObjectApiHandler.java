package org.marjoramsail.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.io.IOException;
import java.util.List;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.platform.StoreException.Reason;

/** Turns HTTP calls into calls of the store, within the budget of calls. */
final class ObjectApiHandler {

  private static final long DEFAULT_WATCH_SECONDS = 300;

  private final Vertx vertx;
  private final PlatformSettings settings;
  private final Faults faults;
  private final CallCounters counters;
  private final ObjectStore store;
  private final CallBudget writes;
  private final CallBudget reads;
  private final Set<WatchStream> watches = ConcurrentHashMap.newKeySet();
  private final ObjectMapper mapper = new ObjectMapper();

  ObjectApiHandler(
      Vertx vertx, PlatformSettings settings, Clock clock, Faults faults, CallCounters counters) {
    this.vertx = vertx;
    this.settings = settings;
    this.faults = faults;
    this.counters = counters;
    this.store = new ObjectStore(settings.historyEvents());
    PlatformSettings.Budget budget = settings.budget();
    this.writes = new CallBudget(clock, budget.writesPerSecond(), budget.burstMillis());
    this.reads = new CallBudget(clock, budget.readsPerSecond(), budget.burstMillis());
  }

  /** What a call is about. */
  private record Target(CallVerb verb, String kind, String name) {}

  int count(String kind) {
    return store.list(kind).entries().size();
  }

  void cutWatches() {
    List.copyOf(watches).forEach(WatchStream::end);
  }

  void handle(HttpServerRequest request, String path, Buffer body) {
    try {
      Target target = target(request, path);
      counters.count(target.verb(), target.kind());
      takeFromBudget(target.verb());
      if (target.verb() == CallVerb.WATCH) {
        watch(request, target.kind());
        return;
      }
      ObjectNode answer = call(target, body);
      if (target.verb().isWrite() && faults.takeLostAnswer()) {
        request.connection().close();
        return;
      }
      JsonResponses.send(request.response(), target.verb() == CallVerb.CREATE ? 201 : 200, answer);
    } catch (StoreException failure) {
      JsonResponses.fail(request.response(), failure);
    }
  }

  private static Target target(HttpServerRequest request, String path) throws StoreException {
    String[] parts = path.split("/", -1);
    String kind = parts[0];
    if (parts.length > 2 || kind.isEmpty()) {
      throw new StoreException(Reason.NOT_FOUND, "There is nothing at " + request.path() + ".");
    }
    String name = parts.length == 2 ? parts[1] : "";
    return new Target(verb(request, name.isEmpty()), kind, name);
  }

  private static CallVerb verb(HttpServerRequest request, boolean wholeKind) throws StoreException {
    HttpMethod method = request.method();
    if (method.equals(HttpMethod.GET)) {
      if (!wholeKind) {
        return CallVerb.GET;
      }
      return "true".equals(request.getParam("watch")) ? CallVerb.WATCH : CallVerb.LIST;
    }
    if (method.equals(HttpMethod.POST) && wholeKind) {
      return CallVerb.CREATE;
    }
    if (method.equals(HttpMethod.PUT) && !wholeKind) {
      return CallVerb.REPLACE;
    }
    if (method.equals(HttpMethod.DELETE) && !wholeKind) {
      return CallVerb.DELETE;
    }
    throw new StoreException(
        Reason.METHOD_NOT_ALLOWED, method + " is not allowed at " + request.path() + ".");
  }

  private void takeFromBudget(CallVerb verb) throws StoreException {
    CallBudget budget = verb.isWrite() ? writes : reads;
    if (!budget.tryTake()) {
      counters.countOverBudget();
      throw new StoreException(
          Reason.TOO_MANY_REQUESTS,
          "The budget of " + (verb.isWrite() ? "writes" : "reads") + " is spent.");
    }
  }

  private ObjectNode call(Target target, Buffer body) throws StoreException {
    return switch (target.verb()) {
      case GET -> store.get(target.kind(), target.name()).toJson();
      case LIST -> list(target.kind());
      case CREATE -> create(target.kind(), body);
      case REPLACE -> replace(target, body);
      case DELETE -> delete(target, body);
      case WATCH -> throw new IllegalStateException("A watch is not a single call.");
    };
  }

  private ObjectNode list(String kind) {
    ObjectStore.Listing listing = store.list(kind);
    ObjectNode answer = mapper.createObjectNode();
    answer.putObject("metadata").put("resourceVersion", Long.toString(listing.version()));
    ArrayNode items = answer.putArray("items");
    listing.entries().forEach(entry -> items.add(entry.toJson()));
    return answer;
  }

  private ObjectNode create(String kind, Buffer body) throws StoreException {
    ObjectNode object = parse(body);
    String name = object.path("metadata").path("name").asText("");
    if (name.isEmpty() || name.contains("/")) {
      throw new StoreException(
          Reason.BAD_REQUEST, "metadata.name is \"" + name + "\"; it must be a path segment.");
    }
    return store.create(kind, name, spec(object)).toJson();
  }

  private ObjectNode replace(Target target, Buffer body) throws StoreException {
    ObjectNode object = parse(body);
    return store
        .replace(target.kind(), target.name(), expectedVersion(object), spec(object))
        .toJson();
  }

  private ObjectNode delete(Target target, Buffer body) throws StoreException {
    OptionalLong expected =
        body.length() == 0 ? OptionalLong.empty() : expectedVersion(parse(body));
    return store.delete(target.kind(), target.name(), expected).toJson();
  }

  private void watch(HttpServerRequest request, String kind) throws StoreException {
    String version = request.getParam("resourceVersion", "");
    long after = version.isEmpty() ? store.version() : number("resourceVersion", version);
    String timeout = request.getParam("timeoutSeconds");
    long seconds = timeout == null ? DEFAULT_WATCH_SECONDS : number("timeoutSeconds", timeout);
    HttpServerResponse response = request.response();
    WatchStream stream = new WatchStream(vertx, store, response, kind, watches::remove);
    stream.start(after, settings.bookmarkMillis(), Math.max(1, seconds));
    watches.add(stream);
  }

  private ObjectNode parse(Buffer body) throws StoreException {
    if (body.length() > settings.maximumObjectBytes()) {
      throw new StoreException(
          Reason.TOO_LARGE,
          "The object has "
              + body.length()
              + " bytes; at most "
              + settings.maximumObjectBytes()
              + " are allowed.");
    }
    try {
      JsonNode parsed = mapper.readTree(body.getBytes());
      if (parsed instanceof ObjectNode object) {
        return object;
      }
      throw new StoreException(Reason.BAD_REQUEST, "The body must be a JSON object.");
    } catch (IOException failure) {
      throw new StoreException(Reason.BAD_REQUEST, "The body is not JSON.");
    }
  }

  private static ObjectNode spec(ObjectNode object) throws StoreException {
    if (object.get("spec") instanceof ObjectNode spec) {
      return spec;
    }
    throw new StoreException(Reason.BAD_REQUEST, "The object must have a spec, a JSON object.");
  }

  private static OptionalLong expectedVersion(ObjectNode object) throws StoreException {
    String version = object.path("metadata").path("resourceVersion").asText("");
    return version.isEmpty()
        ? OptionalLong.empty()
        : OptionalLong.of(number("metadata.resourceVersion", version));
  }

  private static long number(String field, String text) throws StoreException {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException failure) {
      throw new StoreException(
          Reason.BAD_REQUEST, field + " is \"" + text + "\"; it must be a whole number.");
    }
  }
}
