package org.clementinepost.policy.routing;

import io.vavr.collection.Vector;

/**
 * The requests that one backend server has not answered yet.
 *
 * @param onTimePlacedNanos when each request that is not overdue was placed
 * @param overduePlacedNanos when each overdue request, already counted as slow, was placed
 */
record OutstandingRequests(Vector<Long> onTimePlacedNanos, Vector<Long> overduePlacedNanos) {
  static final OutstandingRequests NONE = new OutstandingRequests(Vector.empty(), Vector.empty());

  int count() {
    return onTimePlacedNanos.size() + overduePlacedNanos.size();
  }

  OutstandingRequests withRequestPlaced(long nowNanos) {
    return new OutstandingRequests(onTimePlacedNanos.append(nowNanos), overduePlacedNanos);
  }

  /** Marks the requests that are older than a limit as overdue. */
  OutstandingRequests withOverdueMarked(long nowNanos, long limitNanos) {
    Vector<Long> old = onTimePlacedNanos.filter(placed -> nowNanos - placed > limitNanos);
    return old.isEmpty()
        ? this
        : new OutstandingRequests(
            onTimePlacedNanos.removeAll(old), overduePlacedNanos.appendAll(old));
  }

  /** Whether the request placed nearest to a time is overdue. */
  boolean isOverdue(long placedNanos) {
    return distance(overduePlacedNanos, placedNanos) < distance(onTimePlacedNanos, placedNanos);
  }

  /** Removes the request that was placed nearest to a time. */
  OutstandingRequests withoutRequestPlacedAt(long placedNanos) {
    return isOverdue(placedNanos)
        ? new OutstandingRequests(
            onTimePlacedNanos, withoutNearest(overduePlacedNanos, placedNanos))
        : new OutstandingRequests(
            withoutNearest(onTimePlacedNanos, placedNanos), overduePlacedNanos);
  }

  private static Vector<Long> withoutNearest(Vector<Long> placed, long placedNanos) {
    return placed
        .minBy(candidate -> Math.abs(candidate - placedNanos))
        .map(placed::remove)
        .getOrElse(placed);
  }

  private static long distance(Vector<Long> placed, long placedNanos) {
    long nearest = Long.MAX_VALUE;
    for (long candidate : placed) {
      nearest = Math.min(nearest, Math.abs(candidate - placedNanos));
    }
    return nearest;
  }
}
