package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/** Sample configuration objects for tests. */
final class SampleConfiguration {

  static final ServiceDefinition LECTOR =
      new ServiceDefinition("lector", ServiceKind.MODEL, Optional.of("lector-8b"));

  private SampleConfiguration() {}

  static ModelDefinition model(String version) {
    return new ModelDefinition("lector-8b", version, List.of(), 1_000);
  }

  static UpstreamDefinition upstream(String name, int port, String service) {
    return new UpstreamDefinition(
        new UpstreamName(name),
        service,
        UpstreamRole.DECODE,
        "127.0.0.1",
        port,
        "litoral-a",
        "litoral",
        20,
        true,
        false);
  }

  static RuleDefinition rule(String name, long deadlineMillis) {
    return new RuleDefinition(
        name,
        "lector",
        Optional.of("POST"),
        Optional.of("/filings"),
        ServiceClass.STANDARD,
        Repeatability.AT_MOST_ONCE,
        350,
        26,
        deadlineMillis,
        StoreOutagePolicy.REFUSE);
  }

  static Configuration configuration() {
    return new Configuration(
        7,
        List.of(LECTOR),
        List.of(model("v1")),
        List.of(upstream("lector-1", 9001, "lector"), upstream("lector-2", 9002, "lector")),
        List.of(rule("filings", 60_000)),
        List.of(
            new OrganisationDefinition("rosario", List.of(), List.of("lector"), 1, 10, 50, 1e6)));
  }

  static ConfigurationChange change(String order, ConfigurationOperation... operations) {
    return new ConfigurationChange(
        new OrderId(order), "ana", "a change", Optional.empty(), List.of(operations));
  }

  static ConfigurationOperation put(ConfigurationObject object) {
    return new ConfigurationOperation.Put(object);
  }

  static ConfigurationOperation delete(ObjectKind kind, String name) {
    return new ConfigurationOperation.Delete(new ObjectKey(kind, name));
  }
}
