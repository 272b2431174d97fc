package org.marjoramsail.core.placement;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.StreamChunking;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Request of an entry daemon to the owner of a shard for the placement of one attempt.
 *
 * <p>Times are relative, so that they are valid on the clock of the owner.
 *
 * @param request the request
 * @param attempt the number of the attempt, from one
 * @param entry the daemon that holds the caller's connection
 * @param service the requested service
 * @param organisation the organisation that the request belongs to
 * @param rule the name of the rule that matched, for operators
 * @param serviceClass its urgency
 * @param promptTokens the length of the prompt; zero for plain services
 * @param outputTokens the maximum number of generated tokens; zero for plain services
 * @param prefixHashes chained hashes of the prompt's {@linkplain SampledPrefixHashes sampled
 *     prefixes}
 * @param waitedMillis the time since the request arrived
 * @param firstTokenWithinMillis the time left until the target of the first token
 * @param deadlineWithinMillis the time left until the deadline
 * @param avoid upstreams on which earlier attempts failed
 * @param kvHeldBy a prefill upstream that still holds the KV cache of the prompt
 * @param alone whether the request is suspected of crashing upstreams and must not share one with
 *     another suspect
 * @param contentHash hash of the request's content, by which a retry of the caller is recognised;
 *     zero where retries are not recognised
 * @param chunking how its output is split into chunks
 * @param countedTokens the tokens counted against the token limit of its organisation; zero for a
 *     later attempt, whose tokens were counted before
 * @param priorCalls the calls of earlier attempts
 * @param requiredVersion the only software version that may continue the output; empty for a
 *     request without output; encoded by the messages that carry the request
 * @param urgency its rank among the priorities of its service, zero for the most urgent, see {@link
 *     org.marjoramsail.core.routing.UrgencyRanks}; encoded by the messages that carry the request
 * @param returned whether its caller has returned after a rejection; encoded by the messages that
 *     carry the request
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
    int countedTokens,
    PriorCalls priorCalls,
    @JsonIgnore Optional<SoftwareVersion> requiredVersion,
    @JsonIgnore int urgency,
    @JsonIgnore boolean returned) {

  private static final int FIRST_ATTEMPT = 1;
  private static final long RETRY_MILLIS = 1_000;

  /** Copies the lists, so that the value is immutable. */
  public PlacementRequest {
    prefixHashes = List.copyOf(prefixHashes);
    avoid = List.copyOf(avoid);
    requiredVersion = requiredVersion == null ? Optional.empty() : requiredVersion;
  }

  /** Creates a request whose caller has not been rejected before. */
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
      boolean alone,
      long contentHash,
      StreamChunking chunking,
      int countedTokens,
      PriorCalls priorCalls,
      Optional<SoftwareVersion> requiredVersion,
      int urgency) {
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
        contentHash,
        chunking,
        countedTokens,
        priorCalls,
        requiredVersion,
        urgency,
        false);
  }

  /** Creates a request without output, which any software version may serve. */
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
      boolean alone,
      long contentHash,
      StreamChunking chunking,
      int countedTokens,
      PriorCalls priorCalls) {
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
        contentHash,
        chunking,
        countedTokens,
        priorCalls,
        Optional.empty(),
        0);
  }

  /**
   * Creates a request without output whose retries are not recognised and whose output is streamed
   * token by token.
   */
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
        promptTokens + outputTokens,
        PriorCalls.NONE);
  }

  /**
   * Returns whether this is a later attempt of a request that was already counted against its
   * limits.
   */
  public boolean isRepeat() {
    return attempt > FIRST_ATTEMPT;
  }

  /** Returns whether the request requires a model engine rather than a plain service. */
  public boolean isGeneration() {
    return outputTokens > 0;
  }

  /** Returns the memory of a decode upstream, in tokens, that the request occupies at its end. */
  public int memoryTokens() {
    return promptTokens + outputTokens;
  }

  /**
   * Returns the refusal if no upstream is left that may serve the request. An output that cannot be
   * continued has to be begun anew, so that its refusal has no time to retry.
   *
   * @param pool the upstreams that were considered
   * @param isPoolKnown whether any are known; a daemon that has just started may know none
   */
  public Refusal refusalWithoutUpstream(String pool, boolean isPoolKnown) {
    if (requiredVersion.isPresent() && isPoolKnown) {
      String detail =
          "No upstream of " + pool + " is left that runs version " + requiredVersion.get() + ".";
      return Refusal.notRun(RefusalReason.VERSION_UNAVAILABLE, detail);
    }
    String detail = "No upstream of " + pool + " is left for attempt " + attempt + ".";
    return Refusal.notRun(RefusalReason.NO_UPSTREAM, detail, RETRY_MILLIS);
  }

  /** Returns a copy that only this software version may serve. */
  PlacementRequest continuing(SoftwareVersion version) {
    return copy(0, avoid, Optional.of(version), urgency, returned);
  }

  /** Returns a copy with this urgency. */
  public PlacementRequest withUrgency(int rank) {
    return copy(0, avoid, requiredVersion, rank, returned);
  }

  /** Returns a copy that states whether its caller has returned after a rejection. */
  public PlacementRequest withReturned(boolean hasReturned) {
    return hasReturned == returned ? this : copy(0, avoid, requiredVersion, urgency, hasReturned);
  }

  /** Returns a copy that also avoids the given upstreams. */
  public PlacementRequest alsoAvoiding(Set<UpstreamName> more) {
    if (avoid.containsAll(more)) {
      return this;
    }
    Set<UpstreamName> all = new LinkedHashSet<>(avoid);
    all.addAll(more);
    return copy(0, List.copyOf(all), requiredVersion, urgency, returned);
  }

  /**
   * Returns a copy whose relative times have advanced.
   *
   * @param millis the elapsed time, in milliseconds
   */
  public PlacementRequest afterElapsed(long millis) {
    return copy(millis, avoid, requiredVersion, urgency, returned);
  }

  private PlacementRequest copy(
      long millis,
      List<UpstreamName> avoided,
      Optional<SoftwareVersion> version,
      int rank,
      boolean hasReturned) {
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
        countedTokens,
        priorCalls,
        version,
        rank,
        hasReturned);
  }
}
