package org.clementinepost.testing;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Reads the values of command-line options. */
public final class CommandLines {
  private CommandLines() {}

  /** Adds an option that takes a value. */
  public static Options addOption(Options options, String name, String description) {
    return options.addOption(Option.builder().longOpt(name).hasArg().desc(description).get());
  }

  /** The whole number that an option gives. */
  public static int intValue(CommandLine line, String name, int otherwise) {
    return Integer.parseInt(line.getOptionValue(name, Integer.toString(otherwise)));
  }
}
