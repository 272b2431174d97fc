package org.marjoramsail.daemon.claim;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult;
import org.marjoramsail.core.claim.ClaimResult.Kind;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.claim.ClaimState;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.HttpObjectApi;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;
import org.marjoramsail.standin.platform.CallVerb;
import org.marjoramsail.standin.platform.PlatformSettings;
import org.marjoramsail.standin.platform.PlatformStandIn;

final class PeerClaimServiceTest {

  private static final long WAIT_SECONDS = 20;
  private static final long CLAIM_TIMEOUT_MILLIS = 15_000;
  private static final ClaimSettings SETTINGS =
      new ClaimSettings(2, 8, 4, 100, 100, 1, 5, 20, 50, 600_000);
  private static final ClaimOutcome BALLOT_TAKEN =
      new ClaimOutcome(ClaimState.COMPLETED, 201, "ballot taken");

  private final Vertx vertx = Vertx.vertx();
  private final Clock clock = () -> System.nanoTime() / 1_000_000;
  private final List<DaemonId> live = new CopyOnWriteArrayList<>();
  private final Map<DaemonId, PeerClaimService> services = new ConcurrentHashMap<>();
  private PlatformStandIn platform;
  private int port;
  private PeerClaimService first;
  private PeerClaimService second;

  @BeforeEach
  void start() throws Exception {
    platform =
        new PlatformStandIn(
            vertx,
            PlatformSettings.defaults()
                .withBudget(new PlatformSettings.Budget(100_000, 100_000, 1_000)),
            clock,
            new Random(1));
    port = await(platform.start());
    live.add(new DaemonId("a", 1));
    live.add(new DaemonId("b", 1));
    first = startDaemon(live.get(0));
    second = startDaemon(live.get(1));
  }

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  @Test
  void aKeyIsGrantedOnceAndARepeatReceivesItsOutcomeFromAnyDaemonAndAfterRestarts()
      throws Exception {
    assertThat(await(first.claim(ballot("1", "yes"))).kind()).isEqualTo(Kind.GRANTED);
    assertThat(await(second.claim(ballot("1", "yes"))).kind()).isEqualTo(Kind.RUNNING_ELSEWHERE);
    assertThat(await(second.claim(ballot("1", "no"))).kind()).isEqualTo(Kind.CONFLICTING_BODY);
    await(first.settle(key("1"), BALLOT_TAKEN));
    ClaimResult repeated = repeatUntilResolved(second);
    assertThat(repeated.outcome()).contains(BALLOT_TAKEN);

    PeerClaimService restarted = restartAll();

    assertThat(await(restarted.claim(ballot("1", "yes"))).outcome()).contains(BALLOT_TAKEN);
  }

  @Test
  void aRequestOfAFailedDaemonIsNeverGrantedAgain() throws Exception {
    // Guards against a request that runs twice: the daemon fails before it records the outcome, so
    // a repeated request must not run, since the first one may have taken effect.
    assertThat(await(first.claim(ballot("1", "yes"))).kind()).isEqualTo(Kind.GRANTED);

    PeerClaimService restarted = restartAll();

    assertThat(await(restarted.claim(ballot("1", "yes"))).kind()).isEqualTo(Kind.UNKNOWN_BEFORE);
  }

  @Test
  void claimsAreGrantedAfterARereadWhenTheResponsesToTheirWritesAreLost() throws Exception {
    platform.loseAnswerOfNextWrites(3);

    List<Future<ClaimResult>> claims = new ArrayList<>();
    for (int ballot = 0; ballot < 40; ballot++) {
      claims.add((ballot % 2 == 0 ? first : second).claim(ballot(ballot + "", "yes")));
    }

    for (Future<ClaimResult> claim : claims) {
      assertThat(await(claim).kind()).isEqualTo(Kind.GRANTED);
    }
  }

  @Test
  void aRequestThatCertainlyDidNotRunCanBeClaimedAgain() throws Exception {
    assertThat(await(first.claim(ballot("1", "yes"))).kind()).isEqualTo(Kind.GRANTED);
    await(first.settle(key("1"), new ClaimOutcome(ClaimState.NOT_RUN, 0, "")));

    Kind repeated = Kind.RUNNING_ELSEWHERE;
    while (repeated == Kind.RUNNING_ELSEWHERE) {
      repeated = await(second.claim(ballot("1", "yes"))).kind();
    }

    assertThat(repeated).isEqualTo(Kind.GRANTED);
  }

  @Test
  void duringAStoreOutageNoClaimIsGrantedAndNoPageIsWritten() throws Exception {
    await(platform.outage(true));

    Kind refused = await(first.claim(new ClaimRequest(key("1"), "body", 300))).kind();

    assertThat(refused).isIn(Kind.STORE_UNAVAILABLE, Kind.UNCERTAIN);
    assertThat(platform.counters().calls(CallVerb.CREATE, "claimsegments")).isZero();
    await(platform.outage(false));
    assertThat(await(first.claim(ballot("2", "yes"))).kind()).isEqualTo(Kind.GRANTED);
  }

  private ClaimResult repeatUntilResolved(PeerClaimService service) throws Exception {
    ClaimResult result = await(service.claim(ballot("1", "yes")));
    while (result.kind() == Kind.RUNNING_ELSEWHERE) {
      result = await(service.claim(ballot("1", "yes")));
    }
    return result;
  }

  private PeerClaimService restartAll() {
    services.values().forEach(PeerClaimService::stop);
    services.clear();
    live.clear();
    live.add(new DaemonId("a", 2));
    return startDaemon(live.get(0));
  }

  private PeerClaimService startDaemon(DaemonId id) {
    SimpleMeterRegistry meters = new SimpleMeterRegistry();
    HttpObjectApi api =
        new HttpObjectApi(vertx, HttpObjectApiSettings.defaults("127.0.0.1", port), meters);
    PeerClaimService service =
        new PeerClaimService(
            vertx,
            id,
            SETTINGS,
            api,
            (to, message) ->
                vertx.runOnContext(
                    unused -> {
                      if (services.containsKey(to)) {
                        services.get(to).handle(id, message);
                      }
                    }),
            () -> live,
            clock,
            meters);
    services.put(id, service);
    service.start();
    return service;
  }

  private static ClaimRequest ballot(String name, String body) {
    return new ClaimRequest(key(name), body, CLAIM_TIMEOUT_MILLIS);
  }

  private static ClaimKey key(String name) {
    return new ClaimKey("commune", "plataforma-votacion", name);
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
  }
}
