package org.marjoramsail.daemon.main;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.AppenderBase;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * A collector of logs hung, and with it every daemon of a host: the thread that answers requests
 * waited for its next line to be written.
 */
@Timeout(60)
class BoundedAppenderTest {

  /**
   * More than the queue of 4,096 lines and as many again, which the writing thread may have taken
   * out of it before it hangs on the first of them.
   */
  private static final int MORE_THAN_FIT = 10_000;

  private static final class HangingOutput extends AppenderBase<ILoggingEvent> {
    private final CountDownLatch released = new CountDownLatch(1);
    private final List<String> written = new CopyOnWriteArrayList<>();

    @Override
    protected void append(ILoggingEvent event) {
      try {
        released.await();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
      }
      written.add(event.getFormattedMessage());
    }
  }

  private final LoggerContext context = new LoggerContext();
  private final HangingOutput output = new HangingOutput();
  private final BoundedAppender appender = new BoundedAppender();
  private final Logger logger = context.getLogger("test");

  BoundedAppenderTest() {
    context.setMDCAdapter(new LogbackMDCAdapter());
    output.setContext(context);
    output.start();
    appender.setContext(context);
    appender.addAppender(output);
    appender.start();
    logger.setLevel(Level.INFO);
    logger.addAppender(appender);
  }

  @AfterEach
  void stop() {
    output.released.countDown();
    context.stop();
  }

  @Test
  void whoWritesALineNeverWaitsForAnOutputThatHangs() {
    for (int line = 0; line < MORE_THAN_FIT; line++) {
      logger.info("line {}", line);
    }

    // It came here though nothing was written.
    assertThat(output.written).isEmpty();
  }

  @Test
  void theNextLinesSayHowManyWereDropped() {
    for (int line = 0; line < MORE_THAN_FIT; line++) {
      logger.info("line {}", line);
    }
    output.released.countDown();
    while (appender.getNumberOfElementsInQueue() > 0) {
      Thread.onSpinWait();
    }

    logger.info("later");
    while (!output.written.contains("later")) {
      Thread.onSpinWait();
    }

    assertThat(output.written)
        .anyMatch(line -> line.endsWith("log lines were dropped, as the output was not read"));
  }
}
