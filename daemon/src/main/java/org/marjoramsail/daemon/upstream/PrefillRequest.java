package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.model.RequestId;

/**
 * Body of a prefill request to an engine.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param daemon host name of this daemon
 * @param incarnation incarnation of this daemon
 * @param model the model
 * @param priority zero is the most urgent
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
