package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;
import org.marjoramsail.standin.platform.CallVerb;
import org.marjoramsail.standin.platform.PlatformHost;
import org.marjoramsail.standin.platform.PlatformSettings;
import org.marjoramsail.standin.platform.PlatformSettings.OutageMode;
import org.marjoramsail.standin.platform.PlatformStandIn;

final class HttpObjectApiTest {

  private static final long WAIT_SECONDS = 20;
  private static final PlatformSettings GENEROUS =
      PlatformSettings.defaults()
          .withBudget(new PlatformSettings.Budget(100_000, 100_000, 1_000))
          .withHostListLag(new PlatformSettings.HostListLag(0, 0));

  private final Vertx vertx = Vertx.vertx();
  private final MeterRegistry meters = new SimpleMeterRegistry();
  private final ManualClock clock = new ManualClock(0);
  private PlatformStandIn platform;
  private int port;
  private HttpObjectApi api;

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void anObjectIsCreatedReadReplacedListedAndDeleted() throws Exception {
    start(GENEROUS, 3_000);

    StoredObject created = await(api.create("leases", "a", spec(1)));
    StoredObject replaced =
        await(api.replace(new StoredObject("leases", "a", created.resourceVersion(), spec(2))));

    assertThat(await(api.get("leases", "a"))).isEqualTo(replaced);
    assertThat(await(api.list("leases")).objects()).containsExactly(replaced);
    assertThat(failure(api.create("leases", "a", spec(3)))).isEqualTo(Failure.ALREADY_EXISTS);
    assertThat(failure(api.replace(created))).isEqualTo(Failure.CONFLICT);
    assertThat(failure(api.delete(created))).isEqualTo(Failure.CONFLICT);
    await(api.delete(replaced));
    assertThat(failure(api.get("leases", "a"))).isEqualTo(Failure.NOT_FOUND);
    assertThat(
            meters
                .get("marjoramsail.platform.calls")
                .tags("kind", "leases", "verb", "replace", "result", "conflict")
                .counter()
                .count())
        .isEqualTo(1);
  }

  @Test
  void aWriteWhoseAnswerIsLostIsUncertainAndMayHaveTakenEffect() throws Exception {
    // An operator's order is written, and the connection breaks before the answer. The object is
    // stored all the same. Taking the failure for a refusal would write the order twice.
    start(GENEROUS, 3_000);
    platform.loseAnswerOfNextWrites(1);

    assertThat(failure(api.create("orders", "a", spec(1)))).isEqualTo(Failure.UNCERTAIN);

    assertThat(await(api.get("orders", "a")).spec()).isEqualTo(spec(1));
    assertThat(platform.counters().calls(CallVerb.CREATE, "orders")).isEqualTo(1);
  }

  @Test
  void aWriteThatIsNeverAnsweredIsUncertainAndAReadIsUnavailable() throws Exception {
    start(GENEROUS.withOutageMode(OutageMode.HANGS), 50);
    await(platform.outage(true));

    assertThat(failure(api.create("orders", "a", spec(1)))).isEqualTo(Failure.UNCERTAIN);
    assertThat(failure(api.get("orders", "a"))).isEqualTo(Failure.UNAVAILABLE);
  }

  @Test
  void aWriteThatGotNoConnectionIsProvenWithoutEffect() throws Exception {
    start(GENEROUS.withOutageMode(OutageMode.REFUSES_CONNECTIONS), 3_000);
    await(platform.outage(true));

    assertThat(failure(api.create("orders", "a", spec(1)))).isEqualTo(Failure.UNAVAILABLE);

    await(platform.outage(false));
    assertThat(failure(api.get("orders", "a"))).isEqualTo(Failure.NOT_FOUND);
  }

  @Test
  void refusalsOfThePlatformAreTyped() throws Exception {
    start(GENEROUS.withBudget(new PlatformSettings.Budget(1, 1, 1_000)), 3_000);
    ObjectNode large = spec(1).put("text", "x".repeat(1 << 20));

    assertThat(failure(api.create("orders", "a", large))).isEqualTo(Failure.INVALID);
    ObjectApiException overBudget = exception(api.create("orders", "a", spec(1)));
    assertThat(overBudget.failure()).isEqualTo(Failure.OVER_BUDGET);
    assertThat(overBudget.retryAfterMillis()).contains(1_000L);
    await(platform.outage(true));
    assertThat(failure(api.create("orders", "a", spec(1)))).isEqualTo(Failure.UNAVAILABLE);
  }

  @Test
  void aWatchTellsOfEachChangeInOrderAndOfItsEnd() throws Exception {
    start(GENEROUS, 3_000);
    String version = await(api.list("leases")).resourceVersion();
    BlockingQueue<String> heard = new LinkedBlockingQueue<>();
    StoredObject created = await(api.create("leases", "a", spec(1)));

    watch(version, heard);
    assertThat(heard.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("stored a 1");
    await(api.create("orders", "unheard", spec(7)));
    StoredObject replaced =
        await(api.replace(new StoredObject("leases", "a", created.resourceVersion(), spec(2))));
    await(api.delete(replaced));

    assertThat(heard.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("stored a 2");
    assertThat(heard.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("deleted a 2");
    await(platform.stop());
    assertThat(heard.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("ended UNAVAILABLE");
  }

  @Test
  void aWatchFromAForgottenVersionSaysSo() throws Exception {
    start(GENEROUS, 3_000);
    BlockingQueue<String> heard = new LinkedBlockingQueue<>();

    watch("0", heard);

    assertThat(heard.poll(WAIT_SECONDS, TimeUnit.SECONDS)).isEqualTo("ended VERSION_TOO_OLD");
  }

  @Test
  void theHostListIsAskedForAgainAfterAnOutage() throws Exception {
    start(GENEROUS, 3_000);
    platform
        .hostList()
        .add(
            new PlatformHost(
                "engine-1",
                PlatformHost.Kind.UPSTREAM,
                "127.0.0.1",
                9,
                "zone",
                "region",
                PlatformHost.State.LIVE));
    await(platform.outage(true));
    BlockingQueue<HostList> heard = new LinkedBlockingQueue<>();
    HttpObjectApiSettings settings = HttpObjectApiSettings.defaults("127.0.0.1", port);
    HostListClient client =
        new HostListClient(vertx, settings, () -> 10, new Random(1), meters, heard::add);

    client.start();
    await(platform.outage(false));

    HostList list = heard.poll(WAIT_SECONDS, TimeUnit.SECONDS);
    client.close();
    assertThat(list.hosts())
        .containsExactly(
            new HostEntry(
                "engine-1",
                HostEntry.Kind.UPSTREAM,
                "127.0.0.1",
                9,
                "zone",
                "region",
                HostEntry.State.LIVE));
  }

  private void start(PlatformSettings settings, long answerTimeoutMillis) throws Exception {
    platform = new PlatformStandIn(vertx, settings, clock, new Random(1));
    port = await(platform.start());
    api =
        new HttpObjectApi(
            vertx,
            new HttpObjectApiSettings("127.0.0.1", port, 1_000, answerTimeoutMillis, 4, 30),
            meters);
  }

  /** Begins a watch on an event loop, so that its handlers are set before a response arrives. */
  private void watch(String version, BlockingQueue<String> heard) {
    vertx.runOnContext(
        begins -> {
          ObjectApi.Watch unused = api.watch("leases", version, listener(heard));
        });
  }

  private static ObjectApi.WatchListener listener(BlockingQueue<String> heard) {
    return new ObjectApi.WatchListener() {
      @Override
      public void stored(StoredObject object) {
        heard.add("stored " + object.name() + " " + object.spec().path("value").asInt());
      }

      @Override
      public void deleted(StoredObject object) {
        heard.add("deleted " + object.name() + " " + object.spec().path("value").asInt());
      }

      @Override
      public void bookmark(String resourceVersion) {
        // Bookmarks come by time and are not what these tests are about.
      }

      @Override
      public void ended(ObjectApiException cause) {
        heard.add("ended " + cause.failure());
      }
    };
  }

  private static ObjectNode spec(int value) {
    return JsonNodeFactory.instance.objectNode().put("value", value);
  }

  private static Failure failure(Future<?> future) throws Exception {
    return exception(future).failure();
  }

  private static ObjectApiException exception(Future<?> future) throws Exception {
    try {
      Object result = await(future);
      throw new AssertionError("It succeeded with " + result);
    } catch (ExecutionException | CompletionException failure) {
      return (ObjectApiException) failure.getCause();
    }
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
