package org.marjoramsail.standin.load;

import java.util.Optional;

/**
 * One request of a workload, decided before the run.
 *
 * @param sequence its place in the workload, from zero
 * @param atMillis when it is sent, after the start of the run
 * @param organisation whose caller sends it
 * @param token the caller's bearer token
 * @param kind what it asks for
 * @param reference the ballot, filing or hearing that it is about; callers who send the same
 *     request again use the same reference and key
 * @param streamed whether the answer is asked for as a stream
 * @param prompt what the model reads; absent for plain services
 * @param maximumTokens how many tokens are generated; zero for plain services
 * @param idempotencyKey names the request across callers who send it again
 * @param cancelAfterMillis when its caller gives up, after it was planned
 * @param deadlineMillis when it must be answered, after it was planned
 */
public record PlannedRequest(
    int sequence,
    long atMillis,
    String organisation,
    String token,
    RequestKind kind,
    String reference,
    boolean streamed,
    Optional<Prompt> prompt,
    int maximumTokens,
    Optional<String> idempotencyKey,
    Optional<Long> cancelAfterMillis,
    long deadlineMillis) {

  /** The HTTP method. */
  public String method() {
    return kind.method();
  }

  /** The path. */
  public String path() {
    return kind.path(reference);
  }

  /** The JSON body; empty for a lookup. */
  public String body() {
    if (prompt.isPresent()) {
      return "{\"model\":\"%s\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%b}"
          .formatted(kind.service(), prompt.get().text(), maximumTokens, streamed);
    }
    if (kind.method().equals("GET")) {
      return "";
    }
    return "{\"reference\":\"%s\",\"kind\":\"%s\"}".formatted(reference, kind.code());
  }

  /** The same request, sent again by its caller. */
  public PlannedRequest repeatedAt(long laterMillis) {
    return new PlannedRequest(
        sequence,
        laterMillis,
        organisation,
        token,
        kind,
        reference,
        streamed,
        prompt,
        maximumTokens,
        idempotencyKey,
        cancelAfterMillis,
        deadlineMillis);
  }

  /** The same request at another place of the workload. */
  PlannedRequest withSequence(int place) {
    return new PlannedRequest(
        place,
        atMillis,
        organisation,
        token,
        kind,
        reference,
        streamed,
        prompt,
        maximumTokens,
        idempotencyKey,
        cancelAfterMillis,
        deadlineMillis);
  }
}
