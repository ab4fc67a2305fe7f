package org.clementinepost.policy.routing;

import io.vavr.control.Option;

/**
 * What load queries contributed to a placement, for the log and the metrics.
 *
 * @param queries the number of queries sent
 * @param replies how many of them were answered in time
 * @param domainLeft whether the request goes to another failure domain by the replies
 * @param predictedWaitMicros the wait for a slot that the reply of the chosen host predicts
 * @param savedMicros the time saved by leaving the own failure domain
 * @param offer what the chosen host offers; none if the choice did not follow from the replies
 */
public record QueryBasis(
    int queries,
    int replies,
    boolean domainLeft,
    long predictedWaitMicros,
    long savedMicros,
    Option<ServerOffer> offer) {
  /** The basis of a placement without queries. */
  public static final QueryBasis NONE = unused(0, 0);

  static QueryBasis unused(int queries, int replies) {
    return new QueryBasis(queries, replies, false, 0, 0, Option.none());
  }
}
