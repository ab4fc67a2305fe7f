package org.clementinepost.node;

import io.vavr.control.Either;
import java.io.PrintWriter;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/**
 * The parsed command line of {@code clementinepost}.
 *
 * @param action the action to perform
 * @param settingsFile the path of the settings file; empty if the action needs none
 */
record NodeCommandLine(Action action, String settingsFile) {
  private static final String SETTINGS = "settings";
  private static final String CHECK = "check";
  private static final String VERSION = "version";
  private static final String HELP = "help";
  private static final String SETTINGS_REFERENCE = "settings-reference";

  /** The actions that the command line can select. */
  enum Action {
    RUN,
    CHECK,
    VERSION,
    HELP,
    SETTINGS_REFERENCE
  }

  static Either<Failure, NodeCommandLine> parse(String... arguments) {
    try {
      return fromParsed(new DefaultParser().parse(options(), arguments));
    } catch (ParseException e) {
      return Either.left(Failure.of(ResultCode.USAGE, e.getMessage()));
    }
  }

  private static Either<Failure, NodeCommandLine> fromParsed(CommandLine line) {
    if (!line.getArgList().isEmpty()) {
      return Either.left(
          Failure.of(ResultCode.USAGE, "unexpected argument: " + line.getArgList().get(0)));
    }
    if (line.hasOption(HELP)) {
      return Either.right(new NodeCommandLine(Action.HELP, ""));
    }
    if (line.hasOption(VERSION)) {
      return Either.right(new NodeCommandLine(Action.VERSION, ""));
    }
    if (line.hasOption(SETTINGS_REFERENCE)) {
      return Either.right(new NodeCommandLine(Action.SETTINGS_REFERENCE, ""));
    }
    if (!line.hasOption(SETTINGS)) {
      return Either.left(Failure.of(ResultCode.USAGE, "option --settings FILE is required"));
    }
    Action action = line.hasOption(CHECK) ? Action.CHECK : Action.RUN;
    return Either.right(new NodeCommandLine(action, line.getOptionValue(SETTINGS)));
  }

  private static Options options() {
    return new Options()
        .addOption(
            option(SETTINGS, "run a node with the settings in FILE").hasArg().argName("FILE").get())
        .addOption(option(CHECK, "check the settings without starting a node").get())
        .addOption(option(SETTINGS_REFERENCE, "print the reference page of all settings").get())
        .addOption(option(VERSION, "print the version").get())
        .addOption(option(HELP, "print this help").get());
  }

  private static Option.Builder option(String name, String description) {
    return Option.builder().longOpt(name).desc(description);
  }

  static void printHelp(PrintWriter out) {
    out.println("usage: clementinepost --settings FILE [--check]");
    for (Option option : options().getOptions()) {
      String name =
          option.hasArg() ? option.getLongOpt() + " " + option.getArgName() : option.getLongOpt();
      out.printf("  --%-20s %s%n", name, option.getDescription());
    }
    out.flush();
  }
}
