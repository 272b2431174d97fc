package org.marjoramsail.standin.load;

import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;

/** Which requests the callers of a deployment send, and in which shares. The shares are assumed. */
@SuppressWarnings("ImmutableEnumChecker") // Both collections are unmodifiable copies.
public enum RequestMix {
  CABILDO_ABIERTO(
      Map.of(
          RequestKind.BALLOT, 0.38,
          RequestKind.BALLOT_STATUS, 0.44,
          RequestKind.PROPOSAL_SUMMARY, 0.18),
      RequestKind.PROPOSAL_SUMMARY,
      List.of("maipu", "puente-alto", "la-florida", "nunoa", "renca", "penalolen")),
  ROSARIO(
      Map.of(
          RequestKind.FILING, 0.14,
          RequestKind.RECEIPT, 0.10,
          RequestKind.HEARING_DATE, 0.32,
          RequestKind.FILING_STATUS, 0.28,
          RequestKind.FILING_SUMMARY, 0.10,
          RequestKind.ADMISSIBILITY_CHECK, 0.06),
      RequestKind.FILING_SUMMARY,
      List.of("centro", "norte", "sur", "oeste"));

  /** The first organisation sends about this share, each further one the same of what is left. */
  private static final double LARGEST_ORGANISATION_SHARE = 0.4;

  private final Map<RequestKind, Double> shares;
  private final RequestKind mainGeneration;
  private final List<String> organisations;

  RequestMix(
      Map<RequestKind, Double> shares, RequestKind mainGeneration, List<String> organisations) {
    this.shares = Collections.unmodifiableMap(new EnumMap<>(shares));
    this.mainGeneration = mainGeneration;
    this.organisations = List.copyOf(organisations);
  }

  /** The organisations whose callers send requests, the largest first. */
  public List<String> organisations() {
    return organisations;
  }

  /** Its name on the command line: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  /** The bearer token of an organisation's callers. */
  public static String token(String organisation) {
    return "token-of-" + organisation;
  }

  /** The kinds of requests, in a fixed order. */
  public List<RequestKind> kinds() {
    return List.copyOf(shares.keySet());
  }

  /** The share of all requests that generate tokens. */
  public double generationShare() {
    return shares.entrySet().stream()
        .filter(share -> share.getKey().isGeneration())
        .mapToDouble(Map.Entry::getValue)
        .sum();
  }

  /** The kind that generates most tokens. */
  RequestKind mainGeneration() {
    return mainGeneration;
  }

  RequestKind drawKind(RandomGenerator random) {
    double left = random.nextDouble();
    RequestKind last = null;
    for (Map.Entry<RequestKind, Double> share : shares.entrySet()) {
      last = share.getKey();
      left -= share.getValue();
      if (left < 0) {
        break;
      }
    }
    return last;
  }

  String drawOrganisation(RandomGenerator random) {
    for (String organisation : organisations) {
      if (random.nextDouble() < LARGEST_ORGANISATION_SHARE) {
        return organisation;
      }
    }
    return organisations.get(random.nextInt(organisations.size()));
  }
}
