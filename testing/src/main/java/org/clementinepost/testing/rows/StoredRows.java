package org.clementinepost.testing.rows;

import io.vavr.collection.TreeMap;
import io.vavr.collection.Vector;
import io.vavr.control.Option;

/**
 * The content of a row store and the history of its changes.
 *
 * @param rows the rows by table and key
 * @param history the changes that are still available, oldest first
 * @param version the version of the last change
 * @param lastDroppedVersion the version up to which the history has been dropped
 * @param era the number of times that the store has come back from an older copy
 */
record StoredRows(
    TreeMap<String, StoredRow> rows,
    Vector<StoredRow> history,
    long version,
    long lastDroppedVersion,
    long era) {
  private static final char SEPARATOR = '\0';

  static StoredRows empty() {
    return new StoredRows(TreeMap.empty(), Vector.empty(), 0, 0, 0);
  }

  Option<StoredRow> row(String table, String key) {
    return rows.get(table + SEPARATOR + key);
  }

  long versionOf(String table, String key) {
    return row(table, key).map(StoredRow::version).getOrElse(0L);
  }

  Vector<StoredRow> rowsFrom(String table, String fromKey) {
    return rows.values()
        .filter(row -> row.table().equals(table) && row.key().compareTo(fromKey) >= 0)
        .toVector();
  }

  Vector<StoredRow> changesAfter(String table, long after) {
    return history.filter(row -> row.table().equals(table) && row.version() > after);
  }

  /** Applies one transaction; all its changes get the same version. */
  StoredRows apply(Vector<StoredRow> changes) {
    long next = version + 1;
    StoredRows result = new StoredRows(rows, history, next, lastDroppedVersion, era);
    for (StoredRow change : changes) {
      result = result.withChange(new StoredRow(change.table(), change.key(), change.value(), next));
    }
    return result;
  }

  private StoredRows withChange(StoredRow row) {
    String mapKey = row.table() + SEPARATOR + row.key();
    return new StoredRows(
        row.value().isDefined() ? rows.put(mapKey, row) : rows.remove(mapKey),
        history.append(row),
        version,
        lastDroppedVersion,
        era);
  }

  /** Drops the history; readers at an earlier version have to read the whole table again. */
  StoredRows withoutHistory() {
    return new StoredRows(rows, Vector.empty(), version, version, era);
  }

  /** Returns this content as that of a store which comes back with it in a new era. */
  StoredRows inEra(long newEra) {
    return new StoredRows(rows, history, version, lastDroppedVersion, newEra);
  }

  /** Whether changes since a version of an era are unknown. */
  boolean isHistoryLost(long sinceEra, long since) {
    return since < lastDroppedVersion || since > version || sinceEra != era;
  }
}
