package org.clementinepost.testing;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Declares and reads command-line options. */
public final class CommandLines {
  private CommandLines() {}

  /** Adds an option that takes a value. */
  public static Options addOption(Options options, String name, String description) {
    return options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
  }

  /** Returns the integer value of an option, or the default if the option is missing. */
  public static int intValue(CommandLine line, String name, int defaultValue) {
    return Integer.parseInt(line.getOptionValue(name, Integer.toString(defaultValue)));
  }
}
