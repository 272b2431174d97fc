package org.marjoramsail.command.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.standin.load.RequestKind;
import org.marjoramsail.standin.load.RequestMix;

/** The configuration of a local fleet: its rules are those by which the report judges. */
final class FleetConfiguration {

  static final String MODEL_VERSION = "1";

  /** Limits that no run reaches, since runs try the pools and not the limits. */
  private static final int UNREACHED_CONCURRENCY = 100_000;

  private static final double UNREACHED_RATE = 1e9;

  /** Plain answers have no tokens; the checks of a configuration want a number all the same. */
  private static final long UNUSED_TARGET_MILLIS = 1_000;

  private FleetConfiguration() {}

  static Configuration of(
      Deployment deployment, List<UpstreamDefinition> upstreams, long kvBytesPerToken) {
    Deployment.ServerCounts servers = deployment.servers();
    return new Configuration(
        1,
        List.of(
            new ServiceDefinition(servers.model(), ServiceKind.MODEL, Optional.of(servers.model())),
            new ServiceDefinition(servers.plain(), ServiceKind.PLAIN, Optional.empty())),
        List.of(new ModelDefinition(servers.model(), MODEL_VERSION, List.of(), kvBytesPerToken)),
        upstreams,
        deployment.mix().kinds().stream()
            .filter(FleetConfiguration::isFirstOfItsRule)
            .map(FleetConfiguration::rule)
            .toList(),
        deployment.mix().organisations().stream().map(FleetConfiguration::organisation).toList());
  }

  /** The SHA-256 of a bearer token in hexadecimal. */
  static String sha256(String token) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(token.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException absent) {
      throw new IllegalStateException("Every Java runtime has SHA-256.", absent);
    }
  }

  /** Generations of one service differ by nothing that a rule can see. */
  private static boolean isFirstOfItsRule(RequestKind kind) {
    return kind != RequestKind.ADMISSIBILITY_CHECK;
  }

  private static RuleDefinition rule(RequestKind kind) {
    return new RuleDefinition(
        kind.code(),
        kind.service(),
        kind.isGeneration() ? Optional.empty() : Optional.of(kind.method()),
        kind.isGeneration() ? Optional.empty() : Optional.of(kind.pathPrefix()),
        kind.serviceClass(),
        kind.repeatability(),
        kind.firstTokenTargetMillis(),
        kind.isGeneration() ? kind.perTokenTargetMillis() : UNUSED_TARGET_MILLIS,
        kind.deadlineMillis(),
        StoreOutagePolicy.REFUSE);
  }

  private static OrganisationDefinition organisation(String name) {
    return new OrganisationDefinition(
        name,
        List.of(sha256(RequestMix.token(name))),
        List.of(),
        1.0,
        UNREACHED_CONCURRENCY,
        UNREACHED_RATE,
        UNREACHED_RATE);
  }
}
