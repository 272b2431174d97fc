package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonInclude;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;

/**
 * The body of a decode call.
 *
 * @param request whose
 * @param attempt which attempt
 * @param daemon host name of this daemon
 * @param incarnation run of this daemon
 * @param model the model
 * @param priority zero for the most urgent
 * @param prompt the prompt
 * @param promptTokens its length
 * @param maximumTokens how many tokens the answer has at most
 * @param startIndex index of the first token that is wanted
 * @param kv where the KV cache is
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
