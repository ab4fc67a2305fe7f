package org.clementinepost.api;

import java.util.Comparator;

/**
 * A version of the store, ordered by era and then by number.
 *
 * <p>A store that is restored from an older copy begins a new era, in which it assigns numbers
 * again that it had assigned before. Numbers of different eras have nothing to do with each other.
 *
 * @param era the era; zero for a store that does not tell its era
 * @param version the number within the era
 */
public record StoreVersion(long era, long version) implements Comparable<StoreVersion> {
  private static final Comparator<StoreVersion> ORDER =
      Comparator.comparingLong(StoreVersion::era).thenComparingLong(StoreVersion::version);

  /** Returns a version of a store that does not tell its era. */
  public static StoreVersion of(long version) {
    return new StoreVersion(0, version);
  }

  @Override
  public int compareTo(StoreVersion other) {
    return ORDER.compare(this, other);
  }

  /** Whether this version is older than another one. */
  public boolean isBefore(StoreVersion other) {
    return compareTo(other) < 0;
  }

  /** Whether this version is newer than another one. */
  public boolean isAfter(StoreVersion other) {
    return compareTo(other) > 0;
  }

  /** Whether the store has come back from an older copy since another version. */
  public boolean isOfLaterEraThan(StoreVersion other) {
    return era > other.era;
  }

  @Override
  public String toString() {
    return era == 0 ? String.valueOf(version) : era + "." + version;
  }
}
