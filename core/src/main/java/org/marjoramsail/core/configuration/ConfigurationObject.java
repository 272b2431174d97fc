package org.marjoramsail.core.configuration;

/** Object that operators create, change and delete by name. */
public sealed interface ConfigurationObject
    permits ServiceDefinition,
        ModelDefinition,
        UpstreamDefinition,
        RuleDefinition,
        OrganisationDefinition {

  /** Returns the key that identifies this object in a configuration. */
  ObjectKey key();
}
