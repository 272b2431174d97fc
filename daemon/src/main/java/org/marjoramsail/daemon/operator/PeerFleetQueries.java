package org.marjoramsail.daemon.operator;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.configuration.Timers;
import org.marjoramsail.language.ResultTable;
import org.marjoramsail.language.Subject;

/** Asks daemons by messages, and answers the questions of others. Safe on any thread. */
public final class PeerFleetQueries implements FleetQueries {

  /** How long other daemons have to answer, in milliseconds. */
  public static final long PATIENCE_MILLIS = 2_000;

  private final LocalQueries local;
  private final Supplier<MembershipView> membership;
  private final PeerTransport transport;
  private final Timers timers;
  private final AtomicLong lastNumber = new AtomicLong();
  private final Map<Long, Gathering> gatherings = new ConcurrentHashMap<>();

  /**
   * Creates an instance with all that it needs.
   *
   * @param local answers for this daemon
   * @param membership the daemons as they are known now
   * @param transport sends messages to them
   * @param timers ends the wait for silent ones
   */
  public PeerFleetQueries(
      LocalQueries local,
      Supplier<MembershipView> membership,
      PeerTransport transport,
      Timers timers) {
    this.local = local;
    this.membership = membership;
    this.transport = transport;
    this.timers = timers;
  }

  @Override
  public Future<ResultTable> ask(OperatorQueryMessage question) {
    OperatorQueryMessage numbered = question.withNumber(lastNumber.incrementAndGet());
    List<DaemonId> others = othersFor(question.subject());
    Gathering gathering = new Gathering(numbered, others);
    gatherings.put(numbered.number(), gathering);
    others.forEach(other -> transport.send(other, numbered));
    gathering.add(membership.get().self().id(), local.answer(numbered));
    if (!gathering.promise.future().isComplete()) {
      Timers.Timer timer = timers.schedule(PATIENCE_MILLIS, gathering::end);
      gathering.promise.future().onComplete(ended -> timer.cancel());
    }
    return gathering.promise.future().onComplete(ended -> gatherings.remove(numbered.number()));
  }

  /** Handles a question or an answer of another daemon; for the transport's handlers. */
  public void handle(DaemonId from, PeerMessage message) {
    if (message instanceof OperatorQueryMessage question) {
      transport.send(from, local.answer(question));
    } else if (message instanceof OperatorResultMessage answer) {
      // An answer after the end of the wait finds no gathering: its host was named as silent.
      Gathering gathering = gatherings.get(answer.number());
      if (gathering != null) {
        gathering.add(from, answer);
      }
    }
  }

  private List<DaemonId> othersFor(Subject subject) {
    if (subject.scope() == Subject.Scope.LOCAL) {
      return List.of();
    }
    MembershipView view = membership.get();
    return view.members().stream()
        .filter(member -> member.state().isReachable())
        .map(Member::id)
        .filter(id -> !id.equals(view.self().id()))
        .toList();
  }

  /** The answers to one question as they come in. */
  private static final class Gathering {
    private final OperatorQueryMessage question;
    private final List<DaemonId> others;
    private final Map<DaemonId, OperatorResultMessage> answers = new HashMap<>();
    private final Promise<ResultTable> promise = Promise.promise();

    Gathering(OperatorQueryMessage question, List<DaemonId> others) {
      this.question = question;
      this.others = others;
    }

    synchronized void add(DaemonId from, OperatorResultMessage answer) {
      boolean isExpected = answers.containsKey(from) || others.contains(from) || answers.isEmpty();
      if (isExpected) {
        answers.put(from, answer);
      }
      if (answers.size() > others.size()) {
        end();
      }
    }

    synchronized void end() {
      List<List<String>> rows = new ArrayList<>();
      answers.values().forEach(answer -> rows.addAll(answer.rows()));
      boolean isTruncated = answers.values().stream().anyMatch(OperatorResultMessage::truncated);
      TreeSet<String> silent = new TreeSet<>();
      others.stream()
          .filter(other -> !answers.containsKey(other))
          .forEach(other -> silent.add(other.host()));
      int most = Math.min(rows.size(), question.mostRows());
      promise.tryComplete(
          new ResultTable(
              question.subject().columns(),
              rows.subList(0, most),
              List.copyOf(silent),
              isTruncated || most < rows.size()));
    }
  }
}
