package org.marjoramsail.command.fleet;

import java.util.List;
import org.marjoramsail.standin.engine.EngineTimings;
import org.marjoramsail.standin.load.ArrivalShape;
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.Prompt;
import org.marjoramsail.standin.load.PromptLengths;
import org.marjoramsail.standin.load.RequestMix;
import org.marjoramsail.standin.load.Workload;
import org.marjoramsail.standin.load.WorkloadDefinition;

/**
 * The two deployments at their sizes of today. How the engines divide into prefill and decode is
 * assumed.
 */
@SuppressWarnings("ImmutableEnumChecker") // The list is unmodifiable.
public enum Deployment {
  CABILDO_ABIERTO(
      RequestMix.CABILDO_ABIERTO,
      "santiago",
      List.of("santiago-a", "santiago-b", "santiago-c"),
      new ServerCounts("asistente-concejo", 4, 6, "plataforma-votacion", 3)),
  ROSARIO(
      RequestMix.ROSARIO,
      "litoral",
      List.of("litoral-a", "litoral-b", "litoral-c", "litoral-d"),
      new ServerCounts("lector", 2, 4, "ventanilla", 4));

  /** Entry hosts of each deployment. */
  public static final int DAEMONS = 7;

  private static final int SAMPLE_SECONDS = 20;
  private static final double SAMPLE_PER_SECOND = 100;
  private static final double MICROS_PER_SECOND = 1_000_000;
  private static final long SAMPLE_SEED = 0;

  private final RequestMix mix;
  private final String region;
  private final List<String> availabilityZones;
  private final ServerCounts servers;

  Deployment(RequestMix mix, String region, List<String> availabilityZones, ServerCounts servers) {
    this.mix = mix;
    this.region = region;
    this.availabilityZones = availabilityZones;
    this.servers = servers;
  }

  /**
   * The servers of a deployment.
   *
   * @param model the service with engines, and its model
   * @param prefillEngines how many read prompts
   * @param decodeEngines how many generate
   * @param plain the plain service
   * @param plainServers how many servers it has
   */
  public record ServerCounts(
      String model, int prefillEngines, int decodeEngines, String plain, int plainServers) {}

  /** The deployment of that mix. */
  public static Deployment of(RequestMix mix) {
    return mix == RequestMix.ROSARIO ? ROSARIO : CABILDO_ABIERTO;
  }

  /** What its callers send. */
  public RequestMix mix() {
    return mix;
  }

  /** Its region. */
  public String region() {
    return region;
  }

  /** The availability zone of a host: they take turns. */
  public String availabilityZone(int host) {
    return availabilityZones.get(host % availabilityZones.size());
  }

  /** Its servers. */
  public ServerCounts servers() {
    return servers;
  }

  /**
   * How many requests of its mix it can carry in a second: the lower of what its engines can read
   * and generate, by the stand-ins' own rates and without any help of the prefix cache. It is
   * worked out from a sample of the mix, not measured.
   *
   * @param decodeSlots how many requests a decode engine holds
   */
  public double capacityPerSecond(EngineTimings timings, PromptLengths lengths, int decodeSlots) {
    List<PlannedRequest> sample =
        Workload.plan(
            new WorkloadDefinition(
                mix,
                ArrivalShape.STEADY,
                SAMPLE_SEED,
                SAMPLE_SECONDS * 1_000L,
                SAMPLE_PER_SECOND,
                1.0,
                lengths));
    double promptTokens =
        sample.stream()
            .flatMap(request -> request.prompt().stream())
            .mapToInt(Prompt::tokens)
            .average()
            .orElse(1);
    double outputTokens =
        sample.stream()
            .filter(request -> request.prompt().isPresent())
            .mapToInt(PlannedRequest::maximumTokens)
            .average()
            .orElse(1);
    double step = timings.decodeStepMicros() + timings.decodeStepPerRequestMicros() * decodeSlots;
    double readPerSecond = servers.prefillEngines * timings.prefillTokensPerSecond() / promptTokens;
    double generatedPerSecond =
        servers.decodeEngines * decodeSlots * MICROS_PER_SECOND / step / outputTokens;
    double generationsPerSecond = Math.min(readPerSecond, generatedPerSecond);
    return generationsPerSecond * timings.timeScale() / mix.generationShare();
  }
}
