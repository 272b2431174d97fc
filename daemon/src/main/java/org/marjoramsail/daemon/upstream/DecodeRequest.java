package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;

/**
 * Body of a decode request to an engine.
 *
 * @param request identifier of the request
 * @param attempt number of the attempt
 * @param daemon host name of this daemon
 * @param incarnation incarnation of this daemon
 * @param model the model
 * @param priority zero is the most urgent
 * @param prompt the prompt
 * @param promptTokens length of the prompt
 * @param maximumTokens maximum number of output tokens
 * @param startIndex index of the first token to return
 * @param kv location of the KV cache, if it was prefilled elsewhere
 */
@JsonInclude(JsonInclude.Include.NON_ABSENT)
public record DecodeRequest(
    RequestId request,
    int attempt,
    String daemon,
    long incarnation,
    String model,
    int priority,
    String prompt,
    int promptTokens,
    int maximumTokens,
    int startIndex,
    Optional<KvLocation> kv) {}
