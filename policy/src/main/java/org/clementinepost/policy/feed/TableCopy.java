package org.clementinepost.policy.feed;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Option;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.api.peer.FeedRow;

/**
 * A node's copy of a table of the store.
 *
 * <p>Versions never go back in it, and within an era neither does the store's clock, whichever
 * sources it is fed from.
 *
 * @param rows the last known state of each row; removed rows are kept, so that their removal can be
 *     relayed
 * @param version the store's version up to which the copy contains all changes
 * @param storeClockMillis the store's clock at the latest moment at which the copy is known to have
 *     been the newest
 * @param historyStart the version from which on all removals are known; rows that existed only
 *     between two complete pages are not
 * @param requestNanos when this node requested the page of that moment from the store; none if it
 *     came through another node
 */
record TableCopy(
    Map<String, FeedRow> rows,
    StoreVersion version,
    long storeClockMillis,
    StoreVersion historyStart,
    Option<Long> requestNanos) {
  /** The most removed rows that are kept. */
  private static final int MAX_REMOVED_ROWS = 2_000;

  /** Returns the copy that a complete page makes; rows that it lacks have been removed. */
  static TableCopy of(FeedPage page, Option<Long> requestNanos, Option<TableCopy> before) {
    Map<String, FeedRow> rows = page.rows().toMap(FeedRow::key, row -> row);
    Map<String, FeedRow> removed =
        before
            .map(TableCopy::rows)
            .getOrElse(HashMap.empty())
            .filterKeys(key -> !rows.containsKey(key))
            .mapValues(
                row ->
                    row.value().isEmpty()
                        ? row
                        : new FeedRow(row.key(), Option.none(), page.version().version()));
    return new TableCopy(
        rows.merge(removed), page.version(), page.storeClockMillis(), page.version(), requestNanos);
  }

  /** Returns the copy after changes. A page that is older than the copy changes nothing. */
  TableCopy with(FeedPage page, Option<Long> newRequestNanos) {
    if (page.version().isBefore(version)) {
      return this;
    }
    if (page.version().isOfLaterEraThan(version)) {
      // Nothing of the lost history may remain, and the store's clock may have another origin.
      return page.complete() ? of(page, newRequestNanos, Option.none()) : this;
    }
    if (page.complete()) {
      return of(page, newRequestNanos, Option.some(this)).withClockAtLeast(this);
    }
    Map<String, FeedRow> next = rows;
    for (FeedRow row : page.rows()) {
      if (next.get(row.key()).forAll(known -> known.version() < row.version())) {
        next = next.put(row.key(), row);
      }
    }
    boolean newer = page.storeClockMillis() > storeClockMillis;
    return new TableCopy(
            next,
            page.version(),
            newer ? page.storeClockMillis() : storeClockMillis,
            historyStart,
            newer ? newRequestNanos : requestNanos)
        .withoutOldRemovals();
  }

  private TableCopy withClockAtLeast(TableCopy before) {
    return before.storeClockMillis <= storeClockMillis
        ? this
        : new TableCopy(rows, version, before.storeClockMillis, historyStart, before.requestNanos);
  }

  private TableCopy withoutOldRemovals() {
    Vector<FeedRow> removed = rows.values().filter(row -> row.value().isEmpty()).toVector();
    if (removed.size() <= MAX_REMOVED_ROWS) {
      return this;
    }
    Vector<FeedRow> forgotten =
        removed.sortBy(FeedRow::version).take(removed.size() - MAX_REMOVED_ROWS / 2);
    return new TableCopy(
        rows.removeAll(forgotten.map(FeedRow::key)),
        version,
        storeClockMillis,
        new StoreVersion(version.era(), forgotten.last().version()),
        requestNanos);
  }

  /** Returns all rows that exist. */
  FeedPage completePage() {
    return new FeedPage(
        rows.values().filter(row -> row.value().isDefined()).toVector(),
        version,
        storeClockMillis,
        true);
  }

  /** Returns the changes since a version; all rows if removals since then may be unknown. */
  FeedPage pageSince(StoreVersion since) {
    if (since.isBefore(historyStart)) {
      return completePage();
    }
    return new FeedPage(changesSince(since), version, storeClockMillis, false);
  }

  private Vector<FeedRow> changesSince(StoreVersion since) {
    if (!since.isBefore(version)) {
      return Vector.empty();
    }
    return rows.values()
        .filter(row -> row.version() > since.version())
        .toVector()
        .sortBy(FeedRow::version);
  }
}
