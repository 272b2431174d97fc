package org.marjoramsail.daemon.main;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes log lines on a thread of its own, from a queue that is bounded.
 *
 * <p>Guards against an output that nobody reads: a line that cannot be queued is dropped and
 * counted, so that no request ever waits for its log. Once there is room again, one line says how
 * many were dropped.
 */
final class BoundedAppender extends AsyncAppender {

  private static final int QUEUED_LINES = 4_096;

  private final AtomicLong dropped = new AtomicLong();

  BoundedAppender() {
    setQueueSize(QUEUED_LINES);
    setDiscardingThreshold(0);
    setNeverBlock(true);
    setIncludeCallerData(false);
    setMaxFlushTime(500);
  }

  @Override
  protected void append(ILoggingEvent event) {
    if (getRemainingCapacity() == 0) {
      dropped.incrementAndGet();
      return;
    }
    long lost = dropped.get();
    if (lost > 0 && getRemainingCapacity() > QUEUED_LINES / 2) {
      dropped.addAndGet(-lost);
      super.append(lossOf(lost));
    }
    super.append(event);
  }

  private ILoggingEvent lossOf(long lines) {
    LoggingEvent loss = new LoggingEvent();
    loss.setLoggerContext((LoggerContext) getContext());
    loss.setLoggerName(BoundedAppender.class.getName());
    loss.setLevel(Level.WARN);
    loss.setThreadName(Thread.currentThread().getName());
    loss.setTimeStamp(System.currentTimeMillis());
    loss.setMessage(lines + " log lines were dropped, as the output was not read");
    return loss;
  }
}
