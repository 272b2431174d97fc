package org.marjoramsail.core.configuration;

/** One thing that operators create, change and delete by name. */
public sealed interface ConfigurationObject
    permits ServiceDefinition,
        ModelDefinition,
        UpstreamDefinition,
        RuleDefinition,
        OrganisationDefinition {

  /** What it is called among all objects. */
  ObjectKey key();
}
