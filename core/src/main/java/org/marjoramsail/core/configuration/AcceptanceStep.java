package org.marjoramsail.core.configuration;

/** Next step for a change, decided on the root as it was just read. */
public sealed interface AcceptanceStep {

  /**
   * The root has to be updated, on condition that it still equals the one that was read.
   *
   * @param next the root that includes the change
   * @param record the record of the change in the root
   * @param difference the objects that it changes
   */
  record Write(ConfigurationRoot next, OrderRecord record, ConfigurationDifference difference)
      implements AcceptanceStep {}

  /**
   * The change has been accepted before.
   *
   * @param record the existing record of the change
   */
  record AlreadyAccepted(OrderRecord record) implements AcceptanceStep {}

  /**
   * The change cannot be accepted on this root.
   *
   * @param refusal the reason
   */
  record Refuse(ChangeRefusal refusal) implements AcceptanceStep {}
}
