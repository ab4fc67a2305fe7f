package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Runs the simulated scenarios and reports their metrics; the same seed gives the same results. */
public final class MeasuresMain {
  private static final String DEFAULT_HEALTHY_SECONDS = "3600";

  private MeasuresMain() {}

  /** Runs the scenarios, prints a summary and writes the CSV files. */
  public static void main(String[] arguments) throws ParseException, IOException {
    Options options =
        new Options()
            .addOption(null, "seed", true, "seed of the random number generators")
            .addOption(
                null, "healthy-seconds", true, "simulated seconds of the scenario healthy-hour")
            .addOption(
                null,
                "scenario",
                true,
                "regular expression that the names of the scenarios must match")
            .addOption(null, "output", true, "folder for the CSV files");
    CommandLine line = new DefaultParser().parse(options, arguments);
    String scenarioPattern = line.getOptionValue("scenario", ".*");
    ScenarioSuite suite =
        new ScenarioSuite(
            Long.parseLong(line.getOptionValue("seed", "1")),
            Long.parseLong(line.getOptionValue("healthy-seconds", DEFAULT_HEALTHY_SECONDS)),
            name -> name.matches(scenarioPattern));
    Vector<ResultRow> rows = suite.run();
    Vector<ResultRow> summary = Summary.summarize(rows);
    new PrintStream(System.out, true).print(Summary.formatTable(summary));
    if (line.hasOption("output")) {
      writeCsvFiles(Path.of(line.getOptionValue("output")), rows, summary);
    }
  }

  private static void writeCsvFiles(Path folder, Vector<ResultRow> rows, Vector<ResultRow> summary)
      throws IOException {
    Files.createDirectories(folder);
    Files.write(
        folder.resolve("measures.csv"), rows.map(ResultRow::toCsv).prepend(ResultRow.CSV_HEADER));
    Files.write(
        folder.resolve("summary.csv"), summary.map(ResultRow::toCsv).prepend(ResultRow.CSV_HEADER));
  }
}
