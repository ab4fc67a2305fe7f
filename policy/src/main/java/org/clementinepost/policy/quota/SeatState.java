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
 * @param phase whether the node is stopping, and has given the seat back
 */
public record SeatState(
    Option<Seat> seat,
    long version,
    long unchangedSinceNanos,
    long readNanos,
    boolean busy,
    Option<Long> leaseNanos,
    Phase phase) {
  /** How far a node has gone on its way out. */
  public enum Phase {
    STAYING,
    LEAVING,
    HANDING_OVER,
    GIVEN_BACK
  }

  private static final long LONG_AGO_NANOS = Long.MIN_VALUE / 2;

  /** The state of a node that has just started. */
  public static SeatState unknown() {
    return new SeatState(
        Option.none(), 0, LONG_AGO_NANOS, LONG_AGO_NANOS, false, Option.none(), Phase.STAYING);
  }

  SeatState asked(long nowNanos) {
    return new SeatState(seat, version, unchangedSinceNanos, nowNanos, true, leaseNanos, phase);
  }

  SeatState writing() {
    return new SeatState(seat, version, unchangedSinceNanos, readNanos, true, leaseNanos, phase);
  }

  SeatState settled() {
    return new SeatState(seat, version, unchangedSinceNanos, readNanos, false, leaseNanos, phase);
  }

  SeatState heard(long nowNanos) {
    return new SeatState(seat, version, nowNanos, readNanos, busy, leaseNanos, phase);
  }

  SeatState read(Option<Seat> next, long nextVersion, long nowNanos) {
    long since = nextVersion == version ? unchangedSinceNanos : nowNanos;
    return new SeatState(next, nextVersion, since, readNanos, false, Option.none(), phase);
  }

  SeatState seated(Seat own, long nextVersion, long sentNanos) {
    return new SeatState(
        Option.some(own),
        nextVersion,
        unchangedSinceNanos,
        readNanos,
        false,
        Option.some(sentNanos),
        phase);
  }

  SeatState unseated() {
    return new SeatState(
        Option.none(), version, unchangedSinceNanos, readNanos, busy, Option.none(), phase);
  }

  /** The state of a node that is stopping; until it has, it still asks whoever is the keeper. */
  SeatState leaving() {
    return new SeatState(
        seat, version, unchangedSinceNanos, readNanos, busy, leaseNanos, Phase.LEAVING);
  }

  /** The state of a stopping keeper that gives its seat back. */
  SeatState givingBack(long lastVersion) {
    return new SeatState(
        Option.none(),
        lastVersion,
        unchangedSinceNanos,
        readNanos,
        true,
        Option.none(),
        Phase.HANDING_OVER);
  }

  /** The state of a stopping node whose seat is no longer its own. */
  SeatState givenBack() {
    return new SeatState(
        seat, version, unchangedSinceNanos, readNanos, false, Option.none(), Phase.GIVEN_BACK);
  }

  /** Whether the seat is on its way back, so that nobody can take it yet. */
  public boolean isHandingOver() {
    return phase == Phase.HANDING_OVER;
  }

  boolean stays() {
    return phase == Phase.STAYING;
  }
}
