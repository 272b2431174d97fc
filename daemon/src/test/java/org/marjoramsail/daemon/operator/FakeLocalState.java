package org.marjoramsail.daemon.operator;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrderRecord;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardView;

/** What a daemon knows, as a test says. */
final class FakeLocalState implements LocalState {

  static final DaemonId SELF = new DaemonId("entry-1", 1);

  private final List<Member> members = new ArrayList<>(List.of(member(SELF)));
  private final List<RequestView> requests = new ArrayList<>();
  private final List<ShardView> shards = new ArrayList<>();

  void addMember(DaemonId id) {
    members.add(member(id));
  }

  void addRequest(String id, String organisation) {
    requests.add(
        new RequestView(
            new RequestId(id),
            organisation,
            "lector",
            "summaries",
            ServiceClass.DEFERRABLE,
            RequestView.State.WAITING,
            2,
            900,
            List.of(new RequestView.Step(5, "retried", "kv-expired on lector-decode-1"))));
  }

  void addWaiting(String id, String organisation) {
    ShardView.WaitingView waiting =
        new ShardView.WaitingView(
            new RequestId(id),
            organisation,
            SELF,
            "summaries",
            ServiceClass.DEFERRABLE,
            3,
            400,
            "decode-slot",
            1200,
            0);
    shards.add(
        new ShardView(
            new ShardId("lector", "litoral", 0),
            List.of(),
            List.of(),
            List.of(waiting),
            List.of()));
  }

  private static Member member(DaemonId id) {
    return new Member(id, "127.0.0.1", 1, "litoral-a", "litoral", MemberState.ALIVE);
  }

  @Override
  public List<RequestView> requests() {
    return requests;
  }

  @Override
  public Optional<RequestView> request(RequestId request) {
    return requests.stream().filter(view -> view.request().equals(request)).findFirst();
  }

  @Override
  public List<ShardView> shards() {
    return shards;
  }

  @Override
  public MembershipView membership() {
    return new MembershipView(members.get(0), members);
  }

  @Override
  public Configuration configuration() {
    return Configuration.empty();
  }

  @Override
  public RevisionView revision() {
    return new RevisionView(7, "store", 50);
  }

  @Override
  public List<OrderRecord> history() {
    return List.of();
  }

  @Override
  public Map<RefusalReason, Long> refusals() {
    return new EnumMap<>(Map.of(RefusalReason.QUEUE_FULL, 3L));
  }

  @Override
  public Map<RetryReason, Long> retries() {
    return new EnumMap<>(Map.of(RetryReason.KV_EXPIRED, 1L));
  }

  @Override
  public List<QuarantineView> quarantine() {
    return List.of(new QuarantineView("9c2f1a", "quarantined", 2, 10));
  }

  @Override
  public List<PartView> parts() {
    return List.of(new PartView("00000000000059aa", "91bd3f06", "quarantined", 2, 10));
  }

  @Override
  public List<EngineOrderView> engineOrders() {
    return List.of();
  }

  @Override
  public long wallClockMillis() {
    return 0;
  }
}
