package org.marjoramsail.core.configuration;

/** Result of a change, as returned to the operator who ordered it. */
public sealed interface ChangeResult {

  /**
   * The change is in the store and will come into force on all daemons.
   *
   * @param record the record of the change, with the revision that it created
   * @param root the newest root that the accepting daemon has read
   */
  record Accepted(OrderRecord record, ConfigurationRoot root) implements ChangeResult {}

  /**
   * The change was not accepted, or its outcome is unknown; see {@link ChangeRefusal#isProven}.
   *
   * @param refusal the reason
   */
  record Refused(ChangeRefusal refusal) implements ChangeResult {}

  /**
   * The dry run of a change showed that it would be accepted on the newest revision.
   *
   * @param difference the objects that the change would modify
   */
  record DryRun(ConfigurationDifference difference) implements ChangeResult {}
}
