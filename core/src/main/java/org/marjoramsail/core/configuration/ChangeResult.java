package org.marjoramsail.core.configuration;

/** What the operator who ordered a change is told. */
public sealed interface ChangeResult {

  /**
   * The change is in the store and will be in force everywhere.
   *
   * @param record the change, with the revision that it made
   * @param root the newest root that the accepting daemon knows
   */
  record Accepted(OrderRecord record, ConfigurationRoot root) implements ChangeResult {}

  /**
   * The change was not accepted, or its fate is unknown; the refusal says which.
   *
   * @param refusal why
   */
  record Refused(ChangeRefusal refusal) implements ChangeResult {}

  /**
   * A trial: the change would be accepted on the newest revision.
   *
   * @param difference what it would change
   */
  record DryRun(ConfigurationDifference difference) implements ChangeResult {}
}
