package org.clementinepost.node.quota;

import io.vavr.control.Option;
import io.vavr.control.Try;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.clementinepost.api.NodeId;
import org.clementinepost.policy.quota.LeaderLease;

/**
 * Formats and parses the text of the lease row in the store, {@code INCARNATION NODE}, followed by
 * the era of the store unless that is zero.
 */
final class LeaderLeaseRow {
  static final String TABLE = "quota";
  static final String KEY = "seat";

  private static final Pattern ROW =
      Pattern.compile("(?<incarnation>-?[0-9]+) (?<node>.*?)(?: (?<era>[0-9]{1,18}))?");

  private LeaderLeaseRow() {}

  static String format(LeaderLease lease, long era) {
    String text = lease.incarnation() + " " + lease.node().value();
    return era == 0 ? text : text + " " + era;
  }

  static Option<LeaderLease> parse(String text) {
    Matcher matcher = ROW.matcher(text);
    if (!matcher.matches()) {
      return Option.none();
    }
    return Try.of(
            () ->
                new LeaderLease(
                    new NodeId(matcher.group("node")),
                    Long.parseLong(matcher.group("incarnation"))))
        .toOption();
  }

  /** Returns the era in which the writer of a row believed the store to be. */
  static long parseEra(String text) {
    Matcher matcher = ROW.matcher(text);
    return matcher.matches() && matcher.group("era") != null
        ? Long.parseLong(matcher.group("era"))
        : 0;
  }
}
