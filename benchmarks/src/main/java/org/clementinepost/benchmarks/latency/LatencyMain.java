package org.clementinepost.benchmarks.latency;

import io.vavr.collection.Vector;
import java.time.Duration;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Measures the latency of several targets at the same request rate.
 *
 * <p>Unless {@code --rate} is given, the common rate is half of the smallest saturation rate of the
 * targets. The targets take turns in each round, so that other load on the machine affects all of
 * them alike.
 */
public final class LatencyMain {
  private static final int INITIAL_RATE_PER_SECOND = 500;
  private static final int MAX_RATE_PER_SECOND = 64_000;
  private static final double MIN_ACHIEVED_FRACTION = 0.95;
  private static final double SATURATED_P99_MILLIS = 100;
  private static final Duration WARM_UP_DURATION = Duration.ofSeconds(10);
  private static final Duration PROBE_DURATION = Duration.ofSeconds(3);

  private final OpenLoopLoadGenerator loadGenerator;
  private final Duration duration;
  private final int rounds;

  private LatencyMain(OpenLoopLoadGenerator loadGenerator, Duration duration, int rounds) {
    this.loadGenerator = loadGenerator;
    this.duration = duration;
    this.rounds = rounds;
  }

  /** Runs the benchmark and prints the results as CSV. */
  public static void main(String[] arguments) throws ParseException {
    CommandLine line = new DefaultParser().parse(options(), arguments);
    Vector<LoadTarget> targets = Vector.of(line.getOptionValues("target")).map(LoadTarget::parse);
    OpenLoopLoadGenerator loadGenerator = new OpenLoopLoadGenerator(line.getOptionValue("key"));
    LatencyMain main =
        new LatencyMain(
            loadGenerator,
            Duration.ofSeconds(Long.parseLong(line.getOptionValue("seconds", "10"))),
            Integer.parseInt(line.getOptionValue("rounds", "3")));
    int rate = Integer.parseInt(line.getOptionValue("rate", "0"));
    main.measure(targets, rate);
    loadGenerator.close();
  }

  private static Options options() {
    return new Options()
        .addOption(Option.builder().longOpt("target").hasArgs().required().get())
        .addOption(Option.builder().longOpt("key").hasArg().required().get())
        .addOption(Option.builder().longOpt("rate").hasArg().get())
        .addOption(Option.builder().longOpt("seconds").hasArg().get())
        .addOption(Option.builder().longOpt("rounds").hasArg().get());
  }

  private void measure(Vector<LoadTarget> targets, int requestedRate) {
    int rate = requestedRate > 0 ? requestedRate : warmUpAndFindCommonRate(targets);
    System.out.println(
        "target,round,rate_per_s,achieved_per_s,failed,p50_ms,p90_ms,p99_ms,p999_ms");
    for (int round = 1; round <= rounds; round++) {
      for (LoadTarget target : targets) {
        printRow(target, round, loadGenerator.run(target, rate, duration));
      }
    }
  }

  private int warmUpAndFindCommonRate(Vector<LoadTarget> targets) {
    for (LoadTarget target : targets) {
      loadGenerator.run(target, INITIAL_RATE_PER_SECOND, WARM_UP_DURATION);
    }
    int smallestSaturationRate = targets.map(this::findSaturationRate).min().get();
    System.out.println("common_rate_per_s," + smallestSaturationRate / 2);
    return smallestSaturationRate / 2;
  }

  private int findSaturationRate(LoadTarget target) {
    int saturationRate = INITIAL_RATE_PER_SECOND / 2;
    for (int rate = INITIAL_RATE_PER_SECOND; rate <= MAX_RATE_PER_SECOND; rate = rate * 3 / 2) {
      LoadResult result = loadGenerator.run(target, rate, PROBE_DURATION);
      boolean keepsUp =
          result.failed() == 0
              && result.achievedPerSecond() >= rate * MIN_ACHIEVED_FRACTION
              && result.percentileMillis(99) < SATURATED_P99_MILLIS;
      if (!keepsUp) {
        break;
      }
      saturationRate = rate;
    }
    System.out.println("saturation_per_s," + target.name() + "," + saturationRate);
    return saturationRate;
  }

  private static void printRow(LoadTarget target, int round, LoadResult result) {
    System.out.printf(
        Locale.ROOT,
        "%s,%d,%d,%.0f,%d,%.3f,%.3f,%.3f,%.3f%n",
        target.name(),
        round,
        result.requestsPerSecond(),
        result.achievedPerSecond(),
        result.failed(),
        result.percentileMillis(50),
        result.percentileMillis(90),
        result.percentileMillis(99),
        result.percentileMillis(99.9));
  }
}
