package org.clementinepost.node.quota;

import io.vavr.control.Option;
import io.vavr.control.Try;
import org.clementinepost.api.NodeId;
import org.clementinepost.policy.quota.LeaderLease;

/** Formats and parses the text of the lease row in the store, {@code INCARNATION NODE}. */
final class LeaderLeaseRow {
  static final String TABLE = "quota";
  static final String KEY = "seat";

  private LeaderLeaseRow() {}

  static String format(LeaderLease lease) {
    return lease.incarnation() + " " + lease.node().value();
  }

  static Option<LeaderLease> parse(String text) {
    int space = text.indexOf(' ');
    return Try.of(
            () ->
                new LeaderLease(
                    new NodeId(text.substring(space + 1)),
                    Long.parseLong(text.substring(0, space))))
        .toOption();
  }
}
