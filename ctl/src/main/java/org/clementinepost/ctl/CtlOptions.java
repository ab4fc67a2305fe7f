package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import io.vavr.control.Option;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;

/**
 * The options on the command line.
 *
 * @param platformUrl the root of the platform
 * @param json whether the output is for programs
 * @param base the version that a folder is said to be based on
 * @param operator who is said to publish
 * @param note what a publication is said to be for
 * @param name the name of a new key
 * @param limit how many versions the history shows
 * @param logs the log files in which a request is looked up
 */
record CtlOptions(
    Option<String> platformUrl,
    boolean json,
    Option<Long> base,
    String operator,
    Option<String> note,
    Option<String> name,
    int limit,
    Vector<String> logs) {

  static final String HELP = "help";
  static final String VERSION = "version";
  private static final String PLATFORM = "platform";
  private static final String PLATFORM_VARIABLE = "CLEMENTINEPOST_PLATFORM";
  private static final String OUTPUT = "output";
  private static final String JSON = "json";
  private static final String HUMAN = "human";
  private static final String BASE = "base";
  private static final String OPERATOR = "operator";
  private static final String NOTE = "note";
  private static final String NAME = "name";
  private static final String LIMIT = "limit";
  private static final String LOGS = "logs";
  private static final int DEFAULT_LIMIT = 20;

  static Options definitions() {
    return new Options()
        .addOption(null, PLATFORM, true, "URL of the platform; else $" + PLATFORM_VARIABLE)
        .addOption(null, OUTPUT, true, "human (default) or json")
        .addOption(null, BASE, true, "publish: the version that the folder is based on")
        .addOption(null, OPERATOR, true, "who publishes; else the user's name")
        .addOption(null, NOTE, true, "what the publication is for")
        .addOption(null, NAME, true, "key grant: the key's name; else one is made")
        .addOption(null, LIMIT, true, "history: how many versions; 20 by default")
        .addOption(
            org.apache.commons.cli.Option.builder()
                .longOpt(LOGS)
                .hasArgs()
                .desc("explain: log files in which a request is looked up; - for standard input")
                .build())
        .addOption(null, HELP, false, "show this help")
        .addOption(null, VERSION, false, "show the version");
  }

  /** Reads the options; a value that cannot be read is an {@link IllegalArgumentException}. */
  static CtlOptions of(CommandLine line, Map<String, String> environment) {
    String output = line.getOptionValue(OUTPUT, HUMAN);
    if (!output.equals(HUMAN) && !output.equals(JSON)) {
      throw new IllegalArgumentException("--output is human or json, not " + output);
    }
    return new CtlOptions(
        Option.of(line.getOptionValue(PLATFORM, environment.get(PLATFORM_VARIABLE))),
        output.equals(JSON),
        Option.of(line.getOptionValue(BASE)).map(text -> parseNumber(BASE, text)),
        line.getOptionValue(OPERATOR, System.getProperty("user.name", "unknown")),
        Option.of(line.getOptionValue(NOTE)),
        Option.of(line.getOptionValue(NAME)),
        Option.of(line.getOptionValue(LIMIT))
            .map(text -> Math.toIntExact(parseNumber(LIMIT, text)))
            .getOrElse(DEFAULT_LIMIT),
        Option.of(line.getOptionValues(LOGS)).map(Vector::of).getOrElse(Vector.empty()));
  }

  private static long parseNumber(String option, String text) {
    try {
      return Long.parseLong(text);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("--" + option + " is a number, not " + text, e);
    }
  }
}
