package org.marjoramsail.core.order;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** What an operator ordered beside the configuration; kept as an object until it is done. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
  @JsonSubTypes.Type(value = OperatorOrder.Direct.class, name = "direct"),
  @JsonSubTypes.Type(value = OperatorOrder.Resume.class, name = "resume")
})
public sealed interface OperatorOrder {

  /** The service that it is about. */
  String service();

  /**
   * An order to one engine.
   *
   * @param service the service of the engine
   * @param order what to send
   */
  record Direct(String service, EngineOrder order) implements OperatorOrder {}

  /**
   * Go on with a service that was paused by a failure.
   *
   * @param service which
   * @param author who ordered it
   */
  record Resume(String service, String author) implements OperatorOrder {}
}
