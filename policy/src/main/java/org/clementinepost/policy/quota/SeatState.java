package org.clementinepost.policy.quota;

import io.vavr.control.Option;

/**
 * What a node knows of the seat.
 *
 * @param seat who has it, as last read or written; none when it was never read
 * @param version the version of its row
 * @param unchangedSinceNanos since when the row is known unchanged and its keeper unheard
 * @param readNanos when the row was last asked for
 * @param busy whether a read or a write is on its way
 * @param leaseNanos when this node's last successful write was sent; none unless it is the keeper
 * @param leaving whether the node is stopping
 */
public record SeatState(
    Option<Seat> seat,
    long version,
    long unchangedSinceNanos,
    long readNanos,
    boolean busy,
    Option<Long> leaseNanos,
    boolean leaving) {
  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  /** The state of a node that has just started. */
  public static SeatState unknown() {
    return new SeatState(
        Option.none(), 0, LONG_AGO_NANOS, LONG_AGO_NANOS, false, Option.none(), false);
  }

  SeatState asked(long nowNanos) {
    return new SeatState(seat, version, unchangedSinceNanos, nowNanos, true, leaseNanos, leaving);
  }

  SeatState writing() {
    return new SeatState(seat, version, unchangedSinceNanos, readNanos, true, leaseNanos, leaving);
  }

  SeatState settled() {
    return new SeatState(seat, version, unchangedSinceNanos, readNanos, false, leaseNanos, leaving);
  }

  SeatState heard(long nowNanos) {
    return new SeatState(seat, version, nowNanos, readNanos, busy, leaseNanos, leaving);
  }

  SeatState read(Option<Seat> next, long nextVersion, long nowNanos) {
    long since = nextVersion == version ? unchangedSinceNanos : nowNanos;
    return new SeatState(next, nextVersion, since, readNanos, false, Option.none(), leaving);
  }

  SeatState seated(Seat own, long nextVersion, long sentNanos) {
    return new SeatState(
        Option.some(own),
        nextVersion,
        unchangedSinceNanos,
        readNanos,
        false,
        Option.some(sentNanos),
        leaving);
  }

  SeatState unseated() {
    return new SeatState(
        Option.none(), version, unchangedSinceNanos, readNanos, busy, Option.none(), leaving);
  }

  SeatState gone() {
    return new SeatState(
        Option.none(), version, unchangedSinceNanos, readNanos, busy, Option.none(), true);
  }
}
