package org.marjoramsail.core.outcome;

import java.util.List;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.StreamChunking;

/**
 * What a lifecycle has to know of its request; the content itself stays in the shell.
 *
 * @param id names the request
 * @param entry this daemon
 * @param service the service asked for
 * @param organisation whose request it is
 * @param rule the name of the rule that matched
 * @param serviceClass its urgency
 * @param repeatability whether it may run more than once
 * @param generation whether engines generate its answer; a plain service answers otherwise
 * @param claimed whether a claim has to be recorded before the send
 * @param promptTokens length of the prompt; zero for plain services
 * @param outputTokens how many tokens at most it generates; zero for plain services
 * @param prefixHashes chained hashes of some of the prompt's blocks, see SampledPrefixHashes
 * @param fingerprint hash of its content, see {@link Fingerprint}
 * @param receivedAtMillis when it arrived, on the clock of this daemon
 * @param firstTokenAtMillis when its first token is late, on the clock of this daemon
 * @param deadlineAtMillis when its answer is useless, on the clock of this daemon
 * @param chunking how its output is split into chunks
 * @param countedTokens what it counts for against its organisation's limit in tokens
 */
public record RequestProfile(
    RequestId id,
    DaemonId entry,
    String service,
    String organisation,
    String rule,
    ServiceClass serviceClass,
    Repeatability repeatability,
    boolean generation,
    boolean claimed,
    int promptTokens,
    int outputTokens,
    List<Long> prefixHashes,
    long fingerprint,
    long receivedAtMillis,
    long firstTokenAtMillis,
    long deadlineAtMillis,
    StreamChunking chunking,
    int countedTokens) {

  /** Copies the list, so that the value cannot change. */
  public RequestProfile {
    prefixHashes = List.copyOf(prefixHashes);
  }

  /** A request whose answer comes token by token. */
  public RequestProfile(
      RequestId id,
      DaemonId entry,
      String service,
      String organisation,
      String rule,
      ServiceClass serviceClass,
      Repeatability repeatability,
      boolean generation,
      boolean claimed,
      int promptTokens,
      int outputTokens,
      List<Long> prefixHashes,
      long fingerprint,
      long receivedAtMillis,
      long firstTokenAtMillis,
      long deadlineAtMillis) {
    this(
        id,
        entry,
        service,
        organisation,
        rule,
        serviceClass,
        repeatability,
        generation,
        claimed,
        promptTokens,
        outputTokens,
        prefixHashes,
        fingerprint,
        receivedAtMillis,
        firstTokenAtMillis,
        deadlineAtMillis,
        StreamChunking.SINGLE_TOKENS,
        promptTokens + outputTokens);
  }
}
