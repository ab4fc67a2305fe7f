package org.clementinepost.policy.feed;

import io.vavr.control.Either;
import org.clementinepost.api.Failure;
import org.clementinepost.api.StoreVersion;
import org.clementinepost.kernel.Reply;

/**
 * A service of this node, or another node, that waits for news of a table.
 *
 * @param knownVersion the version up to which it knows all changes; {@link #NOTHING_KNOWN} if it
 *     knows no row
 * @param knownClockMillis the store's clock as last known to it
 * @param deadlineNanos when it gets an answer without news
 * @param reply receives the answer
 */
public record FeedSubscriber(
    StoreVersion knownVersion,
    long knownClockMillis,
    long deadlineNanos,
    Reply<Either<Failure, ConfirmedPage>> reply) {
  /** The known version of a subscriber that knows no row. */
  public static final StoreVersion NOTHING_KNOWN = StoreVersion.of(-1);
}
