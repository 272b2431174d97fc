package org.marjoramsail.daemon.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.feedback.StatedLoad;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.StreamChunking;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantEstimate;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PriorCalls;
import org.marjoramsail.core.placement.SampledPrefixHashes;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.daemon.peer.PeerCodec;
import org.marjoramsail.daemon.peer.PeerCodecException;

/** Tests the encoding of placement messages between daemons. */
final class PlacementMessageFormatTest {

  private static final ShardId SHARD = new ShardId("asistente-concejo", "santiago", 3);
  private static final RequestId REQUEST = new RequestId("entry-1-1-000123456");

  private static final RelayedFeedback RATE_LIMITED =
      new RelayedFeedback(
          new UpstreamName("asistente-concejo-d-2"),
          1_764_700_000_000L,
          Optional.of(4.1),
          true,
          120);

  private static final RelayedFeedback SLOWED_DOWN =
      new RelayedFeedback(
          new UpstreamName("asistente-concejo-d-3"),
          1_764_700_000_000L,
          Optional.empty(),
          false,
          0,
          Optional.of(new StatedLoad(3, 0, 12, OptionalInt.of(250))),
          40);

  private final PeerCodec codec = new PeerCodec(1 << 20);

  private static PlacementRequest request(int promptTokens) {
    String prompt =
        IntStream.range(0, promptTokens).mapToObj(n -> "w" + n).collect(Collectors.joining(" "));
    return new PlacementRequest(
        REQUEST,
        1,
        new DaemonId("entry-1", 1_764_700_000_000L),
        "asistente-concejo",
        "puente-alto",
        "proposal-summary",
        ServiceClass.DEFERRABLE,
        promptTokens,
        113,
        SampledPrefixHashes.of(prompt),
        12,
        1_988,
        29_988,
        List.of(new UpstreamName("asistente-concejo-d-2")),
        Optional.empty(),
        false);
  }

  private static PlacementRequest continuation() {
    return new PlacementRequest(
        REQUEST,
        2,
        new DaemonId("entry-1", 1_764_700_000_000L),
        "asistente-concejo",
        "puente-alto",
        "proposal-summary",
        ServiceClass.TIMELY,
        900,
        113,
        List.of(),
        12,
        1_988,
        29_988,
        List.of(),
        Optional.empty(),
        false,
        0,
        StreamChunking.SINGLE_TOKENS,
        0,
        PriorCalls.NONE,
        Optional.of(new SoftwareVersion("v1.1")),
        0);
  }

  private static Grant grant() {
    return new Grant(
        REQUEST,
        1,
        GrantMode.DISAGGREGATED,
        Optional.of(new UpstreamName("asistente-concejo-p-1")),
        new UpstreamName("asistente-concejo-d-1"),
        105,
        21);
  }

  private static AttemptReport ended() {
    return new AttemptReport(
        REQUEST,
        1,
        AttemptPhase.ENDED,
        Optional.of(AttemptResult.COMPLETED),
        Optional.empty(),
        96,
        105,
        113);
  }

  static List<PlacementMessage> messages() {
    return List.of(
        new PlacementMessage.Place(SHARD, request(1_000), List.of(RATE_LIMITED)),
        new PlacementMessage.Restore(
            SHARD, request(0), grant(), AttemptPhase.GENERATING, List.of(RATE_LIMITED)),
        new PlacementMessage.Place(SHARD, continuation(), List.of()),
        new PlacementMessage.Restore(
            SHARD, continuation(), grant(), AttemptPhase.GENERATING, List.of()),
        new PlacementMessage.Report(SHARD, ended(), List.of(RATE_LIMITED)),
        new PlacementMessage.Report(SHARD, ended(), List.of(SLOWED_DOWN)),
        new PlacementMessage.Place(SHARD, request(1_000).withUrgency(2), List.of()),
        new PlacementMessage.Restore(
            SHARD, request(0).withUrgency(1), grant(), AttemptPhase.PREFILLED, List.of()),
        new PlacementMessage.Withdraw(SHARD, REQUEST, 2, false),
        new PlacementMessage.Withdraw(SHARD, REQUEST, 2, true),
        new PlacementMessage.Holdings(
            SHARD, List.of(new PlacementMessage.Holding(REQUEST, 1, true))),
        new PlacementMessage.Queued(SHARD, REQUEST, 1),
        new PlacementMessage.Granted(SHARD, grant()),
        new PlacementMessage.Granted(
            SHARD,
            grant(),
            Optional.of(
                new GrantEstimate(
                    2_400, 3_120, Optional.of(new UpstreamName("asistente-concejo-d-2")), 3_410))),
        new PlacementMessage.Granted(
            SHARD, grant(), Optional.of(new GrantEstimate(40, 55, Optional.empty(), 0))),
        new PlacementMessage.Refused(
            SHARD, REQUEST, 1, Refusal.notRun(RefusalReason.QUEUE_FULL, "It is full.", 1_000)),
        new PlacementMessage.Queued(SHARD, REQUEST, 1, true),
        new PlacementMessage.Place(SHARD, request(10).withUrgency(1).withReturned(true), List.of()),
        new PlacementMessage.Unknown(SHARD, List.of()));
  }

  @ParameterizedTest
  @MethodSource("messages")
  void aDecodedMessageEqualsTheOneSent(PlacementMessage message) throws PeerCodecException {
    assertThat(codec.decode(codec.encode(message))).isEqualTo(message);
  }

  /**
   * Guards against more bytes between the daemons of deployments whose routes have one priority.
   */
  @Test
  void whatOnlySeveralPrioritiesRequireIsNotEncodedOtherwise() throws PeerCodecException {
    for (PlacementMessage message :
        List.of(
            new PlacementMessage.Place(SHARD, request(10), List.of()),
            new PlacementMessage.Queued(SHARD, REQUEST, 1),
            new PlacementMessage.Refused(
                SHARD, REQUEST, 1, Refusal.notRun(RefusalReason.QUEUE_FULL, "It is full.")))) {
      String encoded = new String(codec.encode(message), StandardCharsets.ISO_8859_1);

      assertThat(encoded).doesNotContain("returned", "urgency");
    }
  }

  /**
   * Guards against control traffic that grows with prompts: messages must not contain field names
   * or every prefix hash.
   */
  @Test
  void theMessagesOfARequestAreSmallHoweverLongItsPromptIs() throws PeerCodecException {
    int bytes =
        codec.encode(new PlacementMessage.Place(SHARD, request(30_000), List.of())).length
            + codec.encode(new PlacementMessage.Granted(SHARD, grant())).length
            + 3 * codec.encode(new PlacementMessage.Report(SHARD, ended(), List.of())).length;

    assertThat(bytes).isLessThan(800);
  }
}
