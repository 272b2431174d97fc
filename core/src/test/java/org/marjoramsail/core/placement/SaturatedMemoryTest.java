package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.model.RequestId;

/**
 * Guards against frequent preemptions on saturated engines whose output lengths differ from the
 * predictions.
 *
 * <p>Simulates one engine with a constant backlog, for several engine sizes and output lengths.
 */
class SaturatedMemoryTest {

  private static final int STREAMS = 600;
  private static final double MILLIS_PER_TOKEN = 1;

  /** Cost of a preempted stream, in completed streams. */
  private static final double PREEMPTION_COST = 2.5;

  private static final class Stream {
    private final RequestId id;
    private final int prompt;
    private final int output;
    private final int predicted;
    private int generated;

    Stream(int number, Random random, int prompt, int output, double deviation) {
      this.id = new RequestId("stream-" + number);
      this.prompt = around(random, prompt, deviation);
      this.output = around(random, output, deviation);
      double hint = this.output * Math.exp(deviation * random.nextGaussian());
      this.predicted = (int) Math.max(1, 0.4 * hint + 0.6 * output);
    }

    private static int around(Random random, int mean, double deviation) {
      double logarithm = deviation * random.nextGaussian() - deviation * deviation / 2;
      return (int) Math.max(1, Math.min(2 * mean, mean * Math.exp(logarithm)));
    }

    private int held() {
      return prompt + generated;
    }
  }

  private record Outcome(double completed, double preempted) {
    /** Returns the completed streams in the time of one output, less the cost of preemptions. */
    double value() {
      return completed - PREEMPTION_COST * preempted;
    }
  }

  @ParameterizedTest
  @CsvSource({
    "85406,12,5200,5040,0.5",
    "61426,12,5200,5040,0.5",
    "29250,16,3200,800,0.5",
    "42121,48,3200,800,0.5",
    "200000,64,1000,6000,0.8",
    "120000,32,4000,4000,0.2"
  })
  void fewStreamsArePreemptedWhileTheEngineStaysFull(
      int memory, int slots, int prompt, int output, double deviation) {
    Outcome withSafetyMargin = simulate(memory, slots, prompt, output, deviation, true);
    Outcome byMeans = simulate(memory, slots, prompt, output, deviation, false);

    assertThat(withSafetyMargin.preempted()).isLessThanOrEqualTo(byMeans.preempted());
    assertThat(withSafetyMargin.preempted() / withSafetyMargin.completed()).isLessThan(0.08);
    assertThat(withSafetyMargin.value()).isGreaterThan(0.98 * byMeans.value());
  }

  private static Outcome simulate(
      int memory, int slots, int prompt, int output, double deviation, boolean learning) {
    OutputLengthDistribution outputLengths =
        learning ? OutputLengthDistribution.initialEstimate() : OutputLengthDistribution.exact();
    Random random = new Random(17);
    MemoryForecast forecast = new MemoryForecast(outputLengths);
    List<Stream> running = new ArrayList<>();
    int step = Math.max(1, output / 70);
    int number = 0;
    int ended = 0;
    int preempted = 0;
    long now = 0;
    Stream next = new Stream(number, random, prompt, output, deviation);
    while (ended < STREAMS) {
      while (running.size() < slots
          && (running.isEmpty()
              || forecast.peakTokensWith(next.prompt, next.predicted, now, MILLIS_PER_TOKEN)
                  <= memory)) {
        forecast.add(next.id, next.prompt, next.predicted);
        forecast.generationStarted(next.id, now);
        running.add(next);
        next = new Stream(++number, random, prompt, output, deviation);
      }
      now += step;
      for (Stream stream : List.copyOf(running)) {
        stream.generated += step;
        if (stream.generated >= stream.output) {
          running.remove(stream);
          forecast.remove(stream.id);
          if (learning) {
            outputLengths.observe(stream.output, stream.predicted);
          }
          ended++;
        }
      }
      while (running.size() > 1 && running.stream().mapToInt(Stream::held).sum() > memory) {
        Stream preemptedStream = running.remove(running.size() - 1);
        forecast.remove(preemptedStream.id);
        preempted++;
      }
    }
    double time = (double) now / output;
    System.out.println(
        memory
            + " "
            + learning
            + " ended "
            + ended / time
            + " preempted "
            + (double) preempted / ended
            + " worth "
            + (ended - PREEMPTION_COST * preempted) / time);
    return new Outcome(ended / time, preempted / time);
  }
}
