package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.StreamChunking;
import org.marjoramsail.core.model.UpstreamName;

/**
 * What an entry daemon asks of the owner of a shard: upstreams for one attempt of one request.
 *
 * <p>Times are relative, so that they hold on the clock of the owner.
 *
 * @param request the request
 * @param attempt from one; rises with each try
 * @param entry the daemon that holds the caller's connection
 * @param service the service asked for
 * @param organisation whose request it is
 * @param rule the name of the rule that matched, for the operators' questions
 * @param serviceClass its urgency
 * @param promptTokens length of the prompt; zero for plain services
 * @param outputTokens how many tokens at most it generates; zero for plain services
 * @param prefixHashes chained hashes of the prompt's {@linkplain SampledPrefixHashes marks}
 * @param waitedMillis how long ago the request arrived
 * @param firstTokenWithinMillis how long until its first token is late
 * @param deadlineWithinMillis how long until its answer is useless
 * @param avoid upstreams on which earlier attempts failed
 * @param kvHeldBy a prefill upstream on which its KV cache still lives
 * @param alone whether it is suspected of crashing upstreams and shares one with no other suspect
 * @param contentHash hash of what the caller sent, by which it is known again when it comes back;
 *     zero where that is of no use
 * @param chunking how its output is split into chunks
 * @param countedTokens what it counts for against its organisation's limit in tokens; zero for a
 *     repeat, which was counted before
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record PlacementRequest(
    RequestId request,
    int attempt,
    DaemonId entry,
    String service,
    String organisation,
    String rule,
    ServiceClass serviceClass,
    int promptTokens,
    int outputTokens,
    List<Long> prefixHashes,
    long waitedMillis,
    long firstTokenWithinMillis,
    long deadlineWithinMillis,
    List<UpstreamName> avoid,
    Optional<UpstreamName> kvHeldBy,
    boolean alone,
    long contentHash,
    StreamChunking chunking,
    int countedTokens) {

  private static final int FIRST_ATTEMPT = 1;

  /** Copies the lists, so that the value cannot change. */
  public PlacementRequest {
    prefixHashes = List.copyOf(prefixHashes);
    avoid = List.copyOf(avoid);
  }

  /** A request whose caller is not known again, and whose answer comes token by token. */
  public PlacementRequest(
      RequestId request,
      int attempt,
      DaemonId entry,
      String service,
      String organisation,
      String rule,
      ServiceClass serviceClass,
      int promptTokens,
      int outputTokens,
      List<Long> prefixHashes,
      long waitedMillis,
      long firstTokenWithinMillis,
      long deadlineWithinMillis,
      List<UpstreamName> avoid,
      Optional<UpstreamName> kvHeldBy,
      boolean alone) {
    this(
        request,
        attempt,
        entry,
        service,
        organisation,
        rule,
        serviceClass,
        promptTokens,
        outputTokens,
        prefixHashes,
        waitedMillis,
        firstTokenWithinMillis,
        deadlineWithinMillis,
        avoid,
        kvHeldBy,
        alone,
        0,
        StreamChunking.SINGLE_TOKENS,
        promptTokens + outputTokens);
  }

  /** Whether an earlier attempt of the request was placed, and counted against its limits. */
  public boolean isRepeat() {
    return attempt > FIRST_ATTEMPT;
  }

  /** Whether it asks for engines rather than for a plain service. */
  public boolean isGeneration() {
    return outputTokens > 0;
  }

  /** How much memory of a decode upstream it takes by its end, in tokens. */
  public int memoryTokens() {
    return promptTokens + outputTokens;
  }

  /** The same request, kept from some upstreams more. */
  public PlacementRequest alsoAvoiding(Set<UpstreamName> more) {
    if (avoid.containsAll(more)) {
      return this;
    }
    Set<UpstreamName> all = new LinkedHashSet<>(avoid);
    all.addAll(more);
    return copy(0, List.copyOf(all));
  }

  /**
   * The same request as it stands some time later.
   *
   * @param millis how much later, in milliseconds
   */
  public PlacementRequest afterElapsed(long millis) {
    return copy(millis, avoid);
  }

  private PlacementRequest copy(long millis, List<UpstreamName> avoided) {
    return new PlacementRequest(
        request,
        attempt,
        entry,
        service,
        organisation,
        rule,
        serviceClass,
        promptTokens,
        outputTokens,
        prefixHashes,
        waitedMillis + millis,
        firstTokenWithinMillis - millis,
        deadlineWithinMillis - millis,
        avoided,
        kvHeldBy,
        alone,
        contentHash,
        chunking,
        countedTokens);
  }
}
