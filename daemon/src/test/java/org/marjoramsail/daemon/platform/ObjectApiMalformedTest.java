package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.daemon.fixture.Waits;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/** A platform that answers with something else than an object. */
@Timeout(60)
final class ObjectApiMalformedTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final StoredObject OBJECT =
      new StoredObject("leases", "first", "1", JsonNodeFactory.instance.objectNode());

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against an object that an answer does not describe. */
  @ParameterizedTest
  @ValueSource(strings = {"null", "[]", "\"text\"", "1", "{}", ""})
  void anAnswerThatIsNoObjectHasNone(String body) {
    assertThat(result(body, api -> api.get("leases", "first")))
        .isEqualTo(Failure.UNAVAILABLE.name());
  }

  /** Guards against a write that counts as done, or as refused, by an answer without its object. */
  @ParameterizedTest
  @ValueSource(strings = {"null", "[]", "\"text\"", "1", "{}", ""})
  void aWriteIsUncertainIfItsAnswerIsNoObject(String body) {
    assertThat(result(body, api -> api.replace(OBJECT))).isEqualTo(Failure.UNCERTAIN.name());
    assertThat(result(body, api -> api.create("leases", "first", OBJECT.spec())))
        .isEqualTo(Failure.UNCERTAIN.name());
  }

  /** Guards against objects that are all dropped because an answer lists none. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "null",
        "[]",
        "\"text\"",
        "1",
        "{}",
        "",
        "{\"metadata\":{\"resourceVersion\":\"1\"}}",
        "{\"metadata\":{\"resourceVersion\":\"1\"},\"items\":null}",
        "{\"metadata\":{\"resourceVersion\":\"1\"},\"items\":\"text\"}",
        "{\"metadata\":{\"resourceVersion\":\"1\"},\"items\":{}}",
        "{\"metadata\":{\"resourceVersion\":\"1\"},\"items\":[null]}"
      })
  void anAnswerWithoutItemsIsNoList(String body) {
    assertThat(result(body, api -> api.list("leases"))).isEqualTo(Failure.UNAVAILABLE.name());
  }

  /** Guards against a watch that goes on behind what it could not read. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "null",
        "[]",
        "\"text\"",
        "{}",
        "{\"type\":\"ADDED\",\"object\":null}",
        "{\"type\":\"DELETED\",\"object\":\"text\"}",
        "{\"type\":\"BOOKMARK\",\"object\":[]}"
      })
  void aWatchEndsAtALineThatIsNoEvent(String line) {
    assertThat(result(line + "\n", this::endOfWatch)).isEqualTo(Failure.UNAVAILABLE.name());
  }

  /** Begins a watch on an event loop, so that its handlers are set before a response arrives. */
  private Future<String> endOfWatch(HttpObjectApi api) {
    Promise<String> end = Promise.promise();
    vertx.runOnContext(
        begins -> {
          ObjectApi.Watch unused = api.watch("leases", "1", new EndListener(end));
        });
    return end.future();
  }

  private String result(String body, Function<HttpObjectApi, Future<?>> call) {
    int port =
        Waits.get(
                vertx
                    .createHttpServer()
                    .requestHandler(request -> request.response().end(body))
                    .listen(0, ADDRESS))
            .actualPort();
    try (HttpObjectApi api =
        new HttpObjectApi(
            vertx, HttpObjectApiSettings.defaults(ADDRESS, port), new SimpleMeterRegistry())) {
      return Waits.get(
          call.apply(api)
              .map(String::valueOf)
              .otherwise(cause -> ((ObjectApiException) cause).failure().name()));
    }
  }

  /** Completes with the first thing that a watch tells of. */
  private record EndListener(Promise<String> end) implements ObjectApi.WatchListener {

    @Override
    public void stored(StoredObject object) {
      end.tryComplete("stored " + object);
    }

    @Override
    public void deleted(StoredObject object) {
      end.tryComplete("deleted " + object);
    }

    @Override
    public void bookmark(String resourceVersion) {
      end.tryComplete("bookmark " + resourceVersion);
    }

    @Override
    public void ended(ObjectApiException cause) {
      end.tryComplete(cause.failure().name());
    }
  }
}
