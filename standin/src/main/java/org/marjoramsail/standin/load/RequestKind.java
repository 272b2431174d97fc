package org.marjoramsail.standin.load;

import java.util.Locale;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;

/**
 * The kinds of requests of the two deployments, each with its path, its urgency and its targets.
 *
 * <p>The targets are assumed: the users have not stated theirs. Deployments build their rules from
 * them, so that the report judges by what the daemons were told.
 */
public enum RequestKind {
  BALLOT(Services.VOTING, "POST", "/ballots", Profile.ONCE),
  BALLOT_STATUS(Services.VOTING, "GET", "/ballots/%s/status", Profile.LOOKUP),
  PROPOSAL_SUMMARY(Services.ASSISTANT, Profile.GENERATION),
  FILING(Services.COUNTER, "POST", "/filings", Profile.ONCE),
  RECEIPT(Services.COUNTER, "POST", "/receipts", Profile.ONCE),
  HEARING_DATE(Services.COUNTER, "GET", "/hearings/%s/next", Profile.LOOKUP),
  FILING_STATUS(Services.COUNTER, "GET", "/filings/%s/status", Profile.LOOKUP),
  FILING_SUMMARY(Services.READER, Profile.GENERATION),
  ADMISSIBILITY_CHECK(Services.READER, Profile.GENERATION);

  private static final String COMPLETIONS = "/v1/completions";

  private final String service;
  private final String method;
  private final String pathBelowService;
  private final Profile profile;

  RequestKind(String service, Profile profile) {
    this(service, "POST", "", profile);
  }

  RequestKind(String service, String method, String pathBelowService, Profile profile) {
    this.service = service;
    this.method = method;
    this.pathBelowService = pathBelowService;
    this.profile = profile;
  }

  /** The service that serves it. */
  public String service() {
    return service;
  }

  /** The HTTP method. */
  public String method() {
    return method;
  }

  /** The path that a caller sends, for one ballot, filing or hearing. */
  public String path(String reference) {
    if (isGeneration()) {
      return COMPLETIONS;
    }
    return "/services/" + service + pathBelowService.formatted(reference);
  }

  /** The part of the path below the service that all requests of this kind share. */
  public String pathPrefix() {
    int reference = pathBelowService.indexOf("%s");
    return reference < 0 ? pathBelowService : pathBelowService.substring(0, reference);
  }

  /** How urgent it is. */
  public ServiceClass serviceClass() {
    return profile.serviceClass;
  }

  /** Whether it may run more than once. */
  public Repeatability repeatability() {
    return profile.repeatability;
  }

  /** Whether tokens are generated for it. */
  public boolean isGeneration() {
    return profile == Profile.GENERATION;
  }

  /** The target for the first token, or for the whole answer of a plain service, in ms. */
  public long firstTokenTargetMillis() {
    return profile.firstTokenTargetMillis;
  }

  /** The target between tokens in milliseconds; zero for plain services. */
  public long perTokenTargetMillis() {
    return profile.perTokenTargetMillis;
  }

  /** When it must be answered, in milliseconds after its arrival. */
  public long deadlineMillis() {
    return profile.deadlineMillis;
  }

  /** Its name in reports: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The services of the two deployments. */
  private static final class Services {
    static final String VOTING = "plataforma-votacion";
    static final String ASSISTANT = "asistente-concejo";
    static final String COUNTER = "ventanilla";
    static final String READER = "lector";

    private Services() {}
  }

  /** What kinds of one sort have in common. */
  private enum Profile {
    ONCE(ServiceClass.STANDARD, Repeatability.AT_MOST_ONCE, 1_000, 0, 10_000),
    LOOKUP(ServiceClass.QUICK, Repeatability.IDEMPOTENT, 250, 0, 3_000),
    GENERATION(ServiceClass.DEFERRABLE, Repeatability.REPEATABLE, 2_000, 60, 30_000);

    private final ServiceClass serviceClass;
    private final Repeatability repeatability;
    private final long firstTokenTargetMillis;
    private final long perTokenTargetMillis;
    private final long deadlineMillis;

    Profile(
        ServiceClass serviceClass,
        Repeatability repeatability,
        long firstTokenTargetMillis,
        long perTokenTargetMillis,
        long deadlineMillis) {
      this.serviceClass = serviceClass;
      this.repeatability = repeatability;
      this.firstTokenTargetMillis = firstTokenTargetMillis;
      this.perTokenTargetMillis = perTokenTargetMillis;
      this.deadlineMillis = deadlineMillis;
    }
  }
}
