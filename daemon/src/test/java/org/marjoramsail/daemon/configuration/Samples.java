package org.marjoramsail.daemon.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationObject;
import org.marjoramsail.core.configuration.ConfigurationOperation;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.OrderId;
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

/** Configurations and changes for tests. */
public final class Samples {

  private Samples() {}

  /** A model of that name and version. */
  public static ModelDefinition model(String name, String version) {
    return new ModelDefinition(name, version, List.of("clerk"), 1_000);
  }

  /** An upstream of the service {@code lector}. */
  public static UpstreamDefinition upstream(int number, UpstreamRole role, boolean fenced) {
    return new UpstreamDefinition(
        new UpstreamName("lector-" + number),
        "lector",
        role,
        "10.0." + number / 250 + "." + (1 + number % 250),
        9000,
        "litoral-" + (char) ('a' + number % 4),
        "litoral",
        20,
        fenced,
        false);
  }

  /** One service with that many upstreams and organisations. */
  public static Configuration configuration(int upstreams, int organisations) {
    List<UpstreamDefinition> servers = new ArrayList<>();
    for (int number = 0; number < upstreams; number++) {
      UpstreamRole role = number % 3 == 0 ? UpstreamRole.PREFILL : UpstreamRole.DECODE;
      servers.add(upstream(number, role, number % 2 == 0));
    }
    List<OrganisationDefinition> tenants = new ArrayList<>();
    for (int number = 0; number < organisations; number++) {
      String hash = String.format("%064x", number + 1);
      tenants.add(
          new OrganisationDefinition(
              "commune-" + number, List.of(hash), List.of("lector"), 1, 10, 50, 1e5));
    }
    return new Configuration(
        0,
        List.of(new ServiceDefinition("lector", ServiceKind.MODEL, Optional.of("lector-8b"))),
        List.of(model("lector-8b", "v1")),
        servers,
        List.of(
            new RuleDefinition(
                "filings",
                "lector",
                Optional.empty(),
                Optional.of("/filings"),
                ServiceClass.STANDARD,
                Repeatability.AT_MOST_ONCE,
                350,
                26,
                60_000,
                StoreOutagePolicy.REFUSE)),
        tenants);
  }

  /** A change that brings an empty configuration to this one. */
  public static ConfigurationChange creating(String order, Configuration configuration) {
    return change(order, new ConfigurationOperation.Restore(configuration));
  }

  /** A change that puts one object. */
  public static ConfigurationChange putting(String order, ConfigurationObject object) {
    return change(order, new ConfigurationOperation.Put(object));
  }

  /** A change with these steps. */
  public static ConfigurationChange change(String order, ConfigurationOperation... operations) {
    return new ConfigurationChange(
        new OrderId(order), "ana", "for a test", Optional.empty(), List.of(operations));
  }
}
