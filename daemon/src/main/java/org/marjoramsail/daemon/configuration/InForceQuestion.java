package org.marjoramsail.daemon.configuration;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.util.List;
import java.util.function.LongSupplier;
import org.marjoramsail.core.configuration.InForceReport;
import org.marjoramsail.core.configuration.RevisionStatusRequestMessage;
import org.marjoramsail.core.configuration.RevisionSurvey;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.message.PeerTransport;
import org.marjoramsail.core.model.DaemonId;

/** One operator's question where a revision is in force; asks those that lag until all have it. */
final class InForceQuestion {

  private static final long REPEAT_MILLIS = 500;

  private final long number;
  private final DaemonId self;
  private final LongSupplier own;
  private final RevisionSurvey survey;
  private final PeerTransport transport;
  private final Timers timers;
  private final Promise<InForceReport> result = Promise.promise();

  InForceQuestion(
      long number,
      long revision,
      LongSupplier own,
      MembershipView view,
      PeerTransport transport,
      Timers timers) {
    this.number = number;
    this.self = view.self().id();
    this.survey = new RevisionSurvey(revision, own.getAsLong(), view);
    this.own = own;
    this.transport = transport;
    this.timers = timers;
  }

  Future<InForceReport> ask(long patienceMillis) {
    timers.schedule(patienceMillis, this::finish);
    repeat();
    return result.future();
  }

  void answered(DaemonId from, long revision) {
    boolean complete;
    synchronized (survey) {
      survey.recordResponse(from, revision);
      complete = survey.report().isComplete();
    }
    if (complete) {
      finish();
    }
  }

  private void repeat() {
    if (result.future().isComplete()) {
      return;
    }
    List<DaemonId> outstanding;
    synchronized (survey) {
      survey.recordResponse(self, own.getAsLong());
      outstanding = survey.outstanding();
    }
    if (outstanding.isEmpty()) {
      finish();
      return;
    }
    outstanding.stream()
        .filter(daemon -> !daemon.equals(self))
        .forEach(daemon -> transport.send(daemon, new RevisionStatusRequestMessage(number)));
    timers.schedule(REPEAT_MILLIS, this::repeat);
  }

  private void finish() {
    synchronized (survey) {
      result.tryComplete(survey.report());
    }
  }
}
