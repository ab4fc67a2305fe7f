package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;

/**
 * The requests that one backend server has not answered yet.
 *
 * @param freshNanos when each was placed
 * @param overdueNanos when each of those was placed that have already counted as slow
 */
record Outstanding(Vector<Long> freshNanos, Vector<Long> overdueNanos) {
  static final Outstanding NONE = new Outstanding(Vector.empty(), Vector.empty());

  int count() {
    return freshNanos.size() + overdueNanos.size();
  }

  Outstanding placed(long nowNanos) {
    return new Outstanding(freshNanos.append(nowNanos), overdueNanos);
  }

  /** Moves the requests that are older than a limit to the overdue ones. */
  Outstanding aged(long nowNanos, long limitNanos) {
    Vector<Long> old = freshNanos.filter(placed -> nowNanos - placed > limitNanos);
    return old.isEmpty()
        ? this
        : new Outstanding(freshNanos.removeAll(old), overdueNanos.appendAll(old));
  }

  /** Whether the request placed at about a time has already counted as slow. */
  boolean isOverdue(long placedNanos) {
    return distance(overdueNanos, placedNanos) < distance(freshNanos, placedNanos);
  }

  /** Takes out the request that was placed nearest to a time. */
  Outstanding ended(long placedNanos) {
    return isOverdue(placedNanos)
        ? new Outstanding(freshNanos, withoutNearest(overdueNanos, placedNanos))
        : new Outstanding(withoutNearest(freshNanos, placedNanos), overdueNanos);
  }

  private static Vector<Long> withoutNearest(Vector<Long> placed, long placedNanos) {
    return placed
        .minBy(candidate -> Math.abs(candidate - placedNanos))
        .map(placed::remove)
        .getOrElse(placed);
  }

  private static long distance(Vector<Long> placed, long placedNanos) {
    long least = Long.MAX_VALUE;
    for (long candidate : placed) {
      least = Math.min(least, Math.abs(candidate - placedNanos));
    }
    return least;
  }
}
