package org.clementinepost.benchmarks.measures;

import io.vavr.Tuple;
import io.vavr.collection.Vector;

/** Summarizes results per deployment: the worst value of each metric over its services. */
final class Summary {
  private Summary() {}

  static Vector<ResultRow> summarize(Vector<ResultRow> rows) {
    return rows.groupBy(
            row ->
                new ResultRow(
                    row.deployment(), "worst", row.scenario(), row.policy(), row.metric(), 0))
        .map(
            (key, group) ->
                Tuple.of(
                    key,
                    new ResultRow(
                        key.deployment(),
                        key.service(),
                        key.scenario(),
                        key.policy(),
                        key.metric(),
                        worst(group))))
        .values()
        .toVector()
        .sortBy(ResultRow::toCsv);
  }

  private static double worst(Vector<ResultRow> group) {
    Vector<Double> values = group.map(ResultRow::value);
    boolean lowerIsWorse = group.head().metric().endsWith("success");
    return lowerIsWorse ? values.min().get() : values.max().get();
  }

  /** Formats the summary with one line for each deployment, scenario and policy. */
  static String formatTable(Vector<ResultRow> summary) {
    StringBuilder text = new StringBuilder();
    String heading = "";
    for (ResultRow row : summary) {
      String rowHeading = row.deployment() + "  " + row.scenario() + "  " + row.policy();
      if (!rowHeading.equals(heading)) {
        text.append('\n').append(rowHeading).append(':');
        heading = rowHeading;
      }
      text.append("  ").append(row.metric()).append('=').append(ResultRow.formatValue(row.value()));
    }
    return text.append('\n').toString();
  }
}
