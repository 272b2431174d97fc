package org.marjoramsail.daemon.operator;

import java.util.List;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;

/**
 * A request as the daemon of its caller holds it.
 *
 * @param request its identifier
 * @param organisation whose it is
 * @param service what was asked for
 * @param rule the rule that matched it
 * @param serviceClass its urgency
 * @param state what becomes of it
 * @param attempt the number of its current attempt
 * @param ageMillis since its arrival, in milliseconds
 * @param steps what happened to it, oldest first
 */
public record RequestView(
    RequestId request,
    String organisation,
    String service,
    String rule,
    ServiceClass serviceClass,
    State state,
    int attempt,
    long ageMillis,
    List<Step> steps) {

  /** What becomes of a request. */
  public enum State {
    /** Its claim is being recorded. */
    CLAIMING,
    /** Waits for a place on upstreams. */
    WAITING,
    /** An upstream has it. */
    RUNNING,
    /** Its answer goes to the caller. */
    ANSWERING
  }

  /**
   * Something that happened to a request.
   *
   * @param ageMillis how long after its arrival, in milliseconds
   * @param event what happened, such as granted, sent, refused or retried
   * @param detail where and why
   */
  public record Step(long ageMillis, String event, String detail) {}

  /** Copies the list, so that the value cannot change. */
  public RequestView {
    steps = List.copyOf(steps);
  }
}
