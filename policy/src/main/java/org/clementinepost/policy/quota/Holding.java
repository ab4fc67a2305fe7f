package org.clementinepost.policy.quota;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.CustomerId;
import org.clementinepost.api.Failure;
import org.clementinepost.api.NodeId;
import org.clementinepost.kernel.Reply;

/**
 * What one node holds of one customer's tokens.
 *
 * @param customer whose tokens
 * @param epoch the tenure that they were granted under
 * @param tokens tokens not spent yet
 * @param leaseEndNanos when those are void
 * @param demand the requests of the last while, fading with time
 * @param demandNanos the time up to which they have faded
 * @param pending the ask that waits for its answer
 * @param holdOffNanos until when it is of no use to ask again
 * @param waiting requests that wait for the answer
 */
record Holding(
    CustomerId customer,
    long epoch,
    int tokens,
    long leaseEndNanos,
    double demand,
    long demandNanos,
    Option<Pending> pending,
    long holdOffNanos,
    Vector<Waiting> waiting) {
  /** How fast past requests fade out of the demand. */
  private static final double DEMAND_FADE_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** An ask without its answer. */
  record Pending(long sequence, NodeId home, long sentNanos) {}

  /** A request that waits for a token. */
  record Waiting(long sinceNanos, Reply<Either<Failure, Permit>> reply) {}

  static Holding empty(CustomerId customer, long nowNanos) {
    return new Holding(
        customer, 0, 0, nowNanos, 0, nowNanos, Option.none(), nowNanos, Vector.empty());
  }

  /** Tokens that may be spent now; a lapsed lease leaves none. */
  int validTokens(long nowNanos) {
    return nowNanos < leaseEndNanos ? tokens : 0;
  }

  /** Requests a second, of late. */
  double demandPerSecond(long nowNanos) {
    double second = TimeUnit.SECONDS.toNanos(1);
    return faded(nowNanos) * second / DEMAND_FADE_NANOS;
  }

  private double faded(long nowNanos) {
    return demand * Math.exp(-Math.max(0, nowNanos - demandNanos) / DEMAND_FADE_NANOS);
  }

  Holding withRequest(long nowNanos) {
    return new Holding(
        customer,
        epoch,
        tokens,
        leaseEndNanos,
        faded(nowNanos) + 1,
        nowNanos,
        pending,
        holdOffNanos,
        waiting);
  }

  Holding withTokens(long nextEpoch, int nextTokens, long nextLeaseEndNanos) {
    return new Holding(
        customer,
        nextEpoch,
        nextTokens,
        nextLeaseEndNanos,
        demand,
        demandNanos,
        pending,
        holdOffNanos,
        waiting);
  }

  Holding spending(int count) {
    return withTokens(epoch, tokens - count, leaseEndNanos);
  }

  Holding withPending(Option<Pending> next) {
    return new Holding(
        customer, epoch, tokens, leaseEndNanos, demand, demandNanos, next, holdOffNanos, waiting);
  }

  Holding holdingOff(long untilNanos) {
    return new Holding(
        customer, epoch, tokens, leaseEndNanos, demand, demandNanos, pending, untilNanos, waiting);
  }

  Holding withWaiting(Vector<Waiting> next) {
    return new Holding(
        customer, epoch, tokens, leaseEndNanos, demand, demandNanos, pending, holdOffNanos, next);
  }
}
