package org.marjoramsail.core.configuration;

/** What to do next with a change, given the root as it was just read. */
public sealed interface AcceptanceStep {

  /**
   * Update the root on condition that it is still the one that was read.
   *
   * @param next the root with the change
   * @param record what the change is remembered by
   * @param difference what it changes
   */
  record Write(ConfigurationRoot next, OrderRecord record, ConfigurationDifference difference)
      implements AcceptanceStep {}

  /**
   * The change has been accepted before.
   *
   * @param record what it is remembered by
   */
  record AlreadyAccepted(OrderRecord record) implements AcceptanceStep {}

  /**
   * The change cannot be accepted on this root.
   *
   * @param refusal why
   */
  record Refuse(ChangeRefusal refusal) implements AcceptanceStep {}
}
