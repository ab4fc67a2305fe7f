package org.clementinepost.ctl;

import io.vavr.collection.Vector;
import java.util.Locale;
import org.clementinepost.api.ResultCode;

/** Generates the text of {@code --help}. */
final class Help {
  private static final int COLUMN_WIDTH = 22;

  private Help() {}

  static Outcome outcome() {
    Vector<String> commands = Commands.ALL.map(entry -> row(entry.usage(), entry.summary()));
    Vector<String> options =
        Vector.ofAll(CtlOptions.definitions().getOptions())
            .map(
                option ->
                    row(
                        "--" + option.getLongOpt() + (option.hasArg() ? " VALUE" : ""),
                        option.getDescription()));
    return Outcome.builder(ResultCode.OK)
        .texts("commands", Commands.ALL.map(CommandEntry::usage).iterator())
        .line("usage: clementinectl [OPTIONS] COMMAND")
        .line("commands:")
        .lines(commands)
        .line("options:")
        .lines(options)
        .line("The exit code follows the table in docs/RESULT-CODES.md.")
        .build();
  }

  private static String row(String left, String right) {
    return String.format(Locale.ROOT, "  %-" + COLUMN_WIDTH + "s %s", left, right);
  }
}
