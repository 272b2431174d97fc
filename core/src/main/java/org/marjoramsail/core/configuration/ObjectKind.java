package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** Kind of a configuration object. */
public enum ObjectKind {
  SERVICE(Configuration::services),
  MODEL(Configuration::models),
  UPSTREAM(Configuration::upstreams),
  RULE(Configuration::rules),
  ORGANISATION(Configuration::organisations);

  // The method references are stateless; the checker cannot detect that they are immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Function<Configuration, List<? extends ConfigurationObject>> objects;

  ObjectKind(Function<Configuration, List<? extends ConfigurationObject>> objects) {
    this.objects = objects;
  }

  /** Returns the objects of this kind, in their order. */
  public List<? extends ConfigurationObject> in(Configuration configuration) {
    return objects.apply(configuration);
  }

  /** Returns the kind in lower case, as it appears to operators. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
