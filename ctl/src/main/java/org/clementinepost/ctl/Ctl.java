package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.util.Properties;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Parses a command line, runs its command and prints the outcome. */
final class Ctl {
  private final Function<String, PlatformConnections> connector;
  private final OutcomeWriter writer;
  private final LongSupplier clockMillis;

  /**
   * Creates the command-line tool.
   *
   * @param connector connects to the platform at a URL
   * @param output the standard output
   * @param error the standard error
   * @param clockMillis the current time, in ms since the epoch
   */
  Ctl(
      Function<String, PlatformConnections> connector,
      PrintStream output,
      PrintStream error,
      LongSupplier clockMillis) {
    this.connector = connector;
    this.writer = new OutcomeWriter(output, error);
    this.clockMillis = clockMillis;
  }

  /** Runs a command line and returns the exit code. */
  int run(String... arguments) {
    CommandLine line;
    CtlOptions options;
    try {
      line = new DefaultParser().parse(CtlOptions.definitions(), arguments);
      options = CtlOptions.of(line, System.getenv());
    } catch (ParseException | IllegalArgumentException e) {
      return write(usageError(e.getMessage()), false);
    }
    if (line.hasOption(CtlOptions.HELP)) {
      return write(Help.outcome(), options.json());
    }
    if (line.hasOption(CtlOptions.VERSION)) {
      return write(version(), options.json());
    }
    return write(run(Vector.ofAll(line.getArgList()), options), options.json());
  }

  private int write(Outcome outcome, boolean json) {
    if (json) {
      writer.writeJson(outcome);
    } else {
      writer.writeText(outcome);
    }
    return outcome.code().exitCode();
  }

  private Outcome run(Vector<String> words, CtlOptions options) {
    Either<Failure, CommandEntry> found = findCommand(words);
    if (found.isLeft()) {
      return Outcome.of(found.getLeft());
    }
    CommandEntry entry = found.get();
    Vector<String> arguments = words.drop(entry.words().size());
    if (!entry.needsPlatform()) {
      return entry.command().run(new CommandContext(arguments, options, null, nowMillis()));
    }
    if (options.platformUrl().isEmpty()) {
      return usageError(entry.usage() + " needs --platform URL");
    }
    return runConnected(entry, arguments, options);
  }

  private Outcome runConnected(CommandEntry entry, Vector<String> arguments, CtlOptions options) {
    PlatformConnections connections = connector.apply(options.platformUrl().get());
    try {
      return entry
          .command()
          .run(new CommandContext(arguments, options, connections.platform(), nowMillis()));
    } finally {
      connections.close();
    }
  }

  private long nowMillis() {
    return clockMillis.getAsLong();
  }

  private static Either<Failure, CommandEntry> findCommand(Vector<String> words) {
    Option<CommandEntry> named = Commands.ALL.find(entry -> entry.matches(words));
    if (named.isEmpty()) {
      return Either.left(
          Failure.of(ResultCode.USAGE, "unknown command; --help lists the commands"));
    }
    return named.get().hasExpectedArgumentCount(words)
        ? Either.right(named.get())
        : Either.left(Failure.of(ResultCode.USAGE, "usage: " + named.get().usage()));
  }

  private static Outcome usageError(String detail) {
    return Outcome.of(Failure.of(ResultCode.USAGE, detail));
  }

  private static Outcome version() {
    Properties properties = new Properties();
    try (InputStream stream = Ctl.class.getResourceAsStream("/clementinectl.properties")) {
      properties.load(stream);
    } catch (IOException e) {
      return Outcome.of(Failure.of(ResultCode.INTERNAL, e.getMessage()));
    }
    String version = properties.getProperty("version");
    return Outcome.builder(ResultCode.OK)
        .field("version", version)
        .line("clementinectl " + version)
        .build();
  }
}
