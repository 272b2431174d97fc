package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.RuleDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.StoreOutagePolicy;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** A configuration of the target size: four models in two regions with five availability zones. */
final class TargetConfiguration {

  static final int ORGANISATIONS = 350;

  /** The classes that requests and rules take in turn. */
  static final List<ServiceClass> CLASSES =
      List.of(ServiceClass.QUICK, ServiceClass.STANDARD, ServiceClass.DEFERRABLE);

  private static final int MODELS = 4;
  private static final int ZONES = 5;
  private static final int ZONES_OF_FIRST_REGION = 3;
  private static final int RULES_PER_SERVICE = 3;
  private static final int SLOTS = 20;
  private static final int PORT = 8_000;
  private static final int HOSTS_PER_BLOCK = 250;
  private static final long KV_BYTES_PER_TOKEN = 131_072;

  private TargetConfiguration() {}

  /** The configuration with so many upstreams, a third of them reading prompts. */
  static Configuration of(int upstreams) {
    return new Configuration(
        1,
        IntStream.range(0, MODELS).mapToObj(TargetConfiguration::service).toList(),
        IntStream.range(0, MODELS).mapToObj(TargetConfiguration::model).toList(),
        IntStream.range(0, upstreams).mapToObj(TargetConfiguration::upstream).toList(),
        rules(),
        IntStream.range(0, ORGANISATIONS).mapToObj(number -> organisation(number, 1.0)).toList());
  }

  /** An organisation with another weight; what most changes at the target size are like. */
  static OrganisationDefinition organisation(int number, double weight) {
    String hash = "%064x".formatted(number);
    return new OrganisationDefinition(
        "organisation-" + number, List.of(hash), List.of(), weight, 1_000, 100, 100_000);
  }

  static String availabilityZone(int number) {
    return "availability-zone-" + number % ZONES;
  }

  static String region(int number) {
    return number % ZONES < ZONES_OF_FIRST_REGION ? "region-a" : "region-b";
  }

  static String address(int number) {
    return "10.1.%d.%d".formatted(number / HOSTS_PER_BLOCK, number % HOSTS_PER_BLOCK + 1);
  }

  private static ServiceDefinition service(int number) {
    return new ServiceDefinition(
        serviceName(number), ServiceKind.MODEL, Optional.of("model-" + number));
  }

  private static ModelDefinition model(int number) {
    return new ModelDefinition("model-" + number, "1", List.of(), KV_BYTES_PER_TOKEN);
  }

  private static UpstreamDefinition upstream(int number) {
    int inService = number / MODELS;
    boolean reads = inService / ZONES % 3 == 0;
    return new UpstreamDefinition(
        new UpstreamName("server-" + number),
        serviceName(number % MODELS),
        reads ? UpstreamRole.PREFILL : UpstreamRole.DECODE,
        address(number),
        PORT,
        availabilityZone(inService),
        region(inService),
        SLOTS,
        true,
        false);
  }

  private static List<RuleDefinition> rules() {
    List<RuleDefinition> rules = new ArrayList<>();
    for (int service = 0; service < MODELS; service++) {
      for (int number = 0; number < RULES_PER_SERVICE; number++) {
        rules.add(rule(service, number));
      }
    }
    return rules;
  }

  private static RuleDefinition rule(int service, int number) {
    ServiceClass serviceClass = CLASSES.get(number % CLASSES.size());
    return new RuleDefinition(
        "rule-" + service + "-" + number,
        serviceName(service),
        Optional.empty(),
        Optional.empty(),
        serviceClass,
        Repeatability.REPEATABLE,
        350,
        26,
        30_000,
        StoreOutagePolicy.REFUSE);
  }

  private static String serviceName(int number) {
    return "service-" + number;
  }
}
