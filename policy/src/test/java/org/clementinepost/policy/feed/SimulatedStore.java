package org.clementinepost.policy.feed;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.NavigableMap;
import java.util.TreeMap;
import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.peer.FeedPage;
import org.clementinepost.api.peer.FeedRow;

/** One table of a store with its whole history, in virtual time. */
final class SimulatedStore {
  /** The store's clock has its own origin. */
  private static final long CLOCK_OFFSET_MILLIS = 5_000_000;

  private final NavigableMap<Long, Map<String, FeedRow>> states = new TreeMap<>();
  private final NavigableMap<Long, Long> versionsByMillis = new TreeMap<>();
  private long version = 1;
  private long historyStart;
  private long calls;
  private boolean down;

  SimulatedStore() {
    states.put(version, HashMap.empty());
    versionsByMillis.put(-1L, version);
  }

  void put(String key, Option<String> value, long nowMillis) {
    version++;
    states.put(version, states.lastEntry().getValue().put(key, new FeedRow(key, value, version)));
    versionsByMillis.put(nowMillis, version);
  }

  void setDown(boolean next) {
    down = next;
  }

  boolean isDown() {
    return down;
  }

  void dropHistory() {
    historyStart = version;
  }

  void countCall() {
    calls++;
  }

  long calls() {
    return calls;
  }

  long version() {
    return version;
  }

  boolean hasChangesSince(long since) {
    return version > since;
  }

  Either<Failure, FeedPage> read(Option<Long> since, long nowMillis) {
    Map<String, FeedRow> rows = states.lastEntry().getValue();
    long clock = nowMillis + CLOCK_OFFSET_MILLIS;
    if (since.isEmpty()) {
      Vector<FeedRow> existing = rows.values().filter(row -> row.value().isDefined()).toVector();
      return Either.right(new FeedPage(existing, version, clock, true));
    }
    if (since.get() < historyStart) {
      return Either.left(Failure.of(ResultCode.PLATFORM_HISTORY_LOST));
    }
    Vector<FeedRow> changed =
        rows.values()
            .filter(row -> row.version() > since.get())
            .toVector()
            .sortBy(FeedRow::version);
    return Either.right(new FeedPage(changed, version, clock, false));
  }

  /** The values of all rows that existed at a version. */
  Map<String, String> valuesAt(long atVersion) {
    return states
        .get(atVersion)
        .filterValues(row -> row.value().isDefined())
        .mapValues(row -> row.value().get());
  }

  /** The newest version before a time of the store's clock, which counts whole milliseconds. */
  long versionBeforeClock(long clockMillis) {
    return versionsByMillis.lowerEntry(clockMillis - CLOCK_OFFSET_MILLIS).getValue();
  }

  static long ageMillis(long clockMillis, long nowMillis) {
    return nowMillis - (clockMillis - CLOCK_OFFSET_MILLIS);
  }
}
