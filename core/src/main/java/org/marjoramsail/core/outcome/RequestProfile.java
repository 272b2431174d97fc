package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.Repeatability;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.StreamChunking;

/**
 * Properties of a request that its lifecycle needs; the I/O layer keeps the content itself.
 *
 * @param id identifier of the request
 * @param entry this daemon
 * @param service the requested service
 * @param organisation organisation of the caller
 * @param rule name of the rule that matched
 * @param serviceClass urgency
 * @param repeatability whether it may run more than once
 * @param generation whether engines generate output, as opposed to a plain service
 * @param claimed whether a claim has to be recorded before the send
 * @param promptTokens length of the prompt; zero for plain services
 * @param outputTokens maximum number of tokens in the output; zero for plain services
 * @param prefixHashes chained hashes of some of the prompt's blocks, see SampledPrefixHashes
 * @param fingerprint hash of the content, see {@link Fingerprint}
 * @param receivedAtMillis time of arrival, on the clock of this daemon
 * @param firstTokenAtMillis latest time for its first token, on the clock of this daemon
 * @param deadlineAtMillis deadline of the request, on the clock of this daemon
 * @param chunking how its output is split into chunks
 * @param countedTokens tokens that count towards the limit of its organisation
 * @param requiredVersion software version that began the output that it continues; empty for a new
 *     output
 * @param sharedParts the parts of its prompt that other requests may share, in order
 * @param urgency its rank among the priorities of its service; zero for the most urgent
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
    int countedTokens,
    Optional<SoftwareVersion> requiredVersion,
    List<SharedPromptPart> sharedParts,
    int urgency) {

  /** Copies the lists, so that the record is immutable. */
  public RequestProfile {
    prefixHashes = List.copyOf(prefixHashes);
    sharedParts = List.copyOf(sharedParts);
  }

  /** Creates the profile of a request for a new output that is sent token by token. */
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
        promptTokens + outputTokens,
        Optional.empty(),
        List.of(),
        0);
  }
}
