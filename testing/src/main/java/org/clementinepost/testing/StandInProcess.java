package org.clementinepost.testing;

import com.google.common.flogger.FluentLogger;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.clementinepost.api.ResultCode;

/**
 * Runs a stand-in as a separate process.
 *
 * <p>The process prints one line {@code listening {json}} once it accepts connections, and runs
 * until it receives a signal. It exits only after the stand-in's {@code close} has returned, so
 * that the stand-in can shut down gracefully.
 */
public final class StandInProcess {
  private static final FluentLogger logger = FluentLogger.forEnclosingClass();

  private StandInProcess() {}

  /** A started stand-in. */
  public interface RunningStandIn extends AutoCloseable {
    /** Returns the value that the line {@code listening} shows as JSON. */
    Object listeningDetails();

    @Override
    void close();
  }

  /**
   * Starts a stand-in from command-line arguments and returns when it has been closed.
   *
   * <p>Exits with the code of {@link ResultCode#USAGE} if the arguments are invalid.
   */
  public static void run(
      String name, Options options, String[] args, Function<CommandLine, RunningStandIn> start) {
    try {
      CommandLine line = new DefaultParser().parse(options, args);
      RunningStandIn running = start.apply(line);
      CountDownLatch closed = new CountDownLatch(1);
      Runtime.getRuntime()
          .addShutdownHook(new Thread(() -> close(running, closed), name + "-stop"));
      System.out.println("listening " + Json.write(running.listeningDetails()));
      closed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    } catch (ParseException | IllegalArgumentException e) {
      logger.atSevere().log("event=usage code=%d cause=%s", ResultCode.USAGE.number(), e);
      printUsage(System.err, name, options);
      System.exit(ResultCode.USAGE.exitCode());
    }
  }

  private static void close(RunningStandIn running, CountDownLatch closed) {
    running.close();
    closed.countDown();
  }

  private static void printUsage(PrintStream out, String name, Options options) {
    out.println("usage: " + name);
    options
        .getOptions()
        .forEach(
            option -> out.println("  --" + option.getLongOpt() + "  " + option.getDescription()));
  }
}
