package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.model.RequestId;

/**
 * The body of a prefill call.
 *
 * @param request whose
 * @param attempt which attempt
 * @param daemon host name of this daemon
 * @param incarnation run of this daemon
 * @param model the model
 * @param priority zero for the most urgent
 * @param prompt the prompt
 */
public record PrefillRequest(
    RequestId request,
    int attempt,
    String daemon,
    long incarnation,
    String model,
    int priority,
    String prompt) {}
