package org.clementinepost.benchmarks.measures;

import io.vavr.Tuple;
import io.vavr.collection.Vector;

/** The figures of a deployment: for each measure that of the service that fares worst. */
final class Summary {
  private Summary() {}

  static Vector<Row> of(Vector<Row> rows) {
    return rows.groupBy(
            row ->
                new Row(row.deployment(), "worst", row.scenario(), row.policy(), row.measure(), 0))
        .map(
            (key, group) ->
                Tuple.of(
                    key,
                    new Row(
                        key.deployment(),
                        key.service(),
                        key.scenario(),
                        key.policy(),
                        key.measure(),
                        worst(group))))
        .values()
        .toVector()
        .sortBy(Row::csv);
  }

  private static double worst(Vector<Row> group) {
    Vector<Double> values = group.map(Row::value);
    boolean lowIsBad = group.head().measure().endsWith("success");
    return lowIsBad ? values.min().get() : values.max().get();
  }

  /** A table with one line for each scenario and policy. */
  static String table(Vector<Row> summary) {
    StringBuilder text = new StringBuilder();
    String line = "";
    for (Row row : summary) {
      String next = row.deployment() + "  " + row.scenario() + "  " + row.policy();
      if (!next.equals(line)) {
        text.append('\n').append(next).append(':');
        line = next;
      }
      text.append("  ").append(row.measure()).append('=').append(Row.number(row.value()));
    }
    return text.append('\n').toString();
  }
}
