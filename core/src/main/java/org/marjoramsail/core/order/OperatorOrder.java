package org.marjoramsail.core.order;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An order of an operator outside the configuration; stored as an object until it is done. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = OperatorOrder.Direct.class, name = "direct"),
  @JsonSubTypes.Type(value = OperatorOrder.Resume.class, name = "resume")
})
public sealed interface OperatorOrder {

  /** Returns the service that the order concerns. */
  String service();

  /**
   * An order to one engine.
   *
   * @param service the service of the engine
   * @param order the order to send
   */
  record Direct(String service, EngineOrder order) implements OperatorOrder {}

  /**
   * An order to resume the rollout of a service that was paused by a failure.
   *
   * @param service the service
   * @param author the operator who gave the order
   */
  record Resume(String service, String author) implements OperatorOrder {}
}
