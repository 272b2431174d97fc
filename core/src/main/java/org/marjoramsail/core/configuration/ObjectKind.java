package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Locale;
import java.util.function.Function;

/** The kinds of objects that a configuration is made of. */
public enum ObjectKind {
  SERVICE(Configuration::services),
  MODEL(Configuration::models),
  UPSTREAM(Configuration::upstreams),
  RULE(Configuration::rules),
  ORGANISATION(Configuration::organisations);

  // A method reference without state; the checker cannot see that it is immutable.
  @SuppressWarnings("ImmutableEnumChecker")
  private final Function<Configuration, List<? extends ConfigurationObject>> objects;

  ObjectKind(Function<Configuration, List<? extends ConfigurationObject>> objects) {
    this.objects = objects;
  }

  /** The objects of this kind, in their order. */
  public List<? extends ConfigurationObject> in(Configuration configuration) {
    return objects.apply(configuration);
  }

  /** The kind in lower case, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
