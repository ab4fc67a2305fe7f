package org.clementinepost.policy.access;

import io.vavr.control.Either;
import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.RequestHead;
import org.clementinepost.api.ResultCode;
import org.clementinepost.api.config.Snapshot;

/**
 * Decides which keys a node accepts while the store holds an older configuration than the node.
 *
 * <p>A key that is only in the older one has been withdrawn, and a key that is only in the newer
 * one was allowed by nothing but the lost history. A key is accepted if both allow the request.
 */
public final class OlderCopyPolicy {
  private OlderCopyPolicy() {}

  /**
   * Confirms a request that the configuration in force allows.
   *
   * @param olderCopy the older configuration that the store holds, if it does
   * @param request the request
   * @param head what the configuration in force makes of it
   */
  public static Either<Failure, RequestHead> confirm(
      Option<Snapshot> olderCopy, IncomingRequest request, RequestHead head) {
    if (olderCopy.isEmpty() || head.customer().isEmpty()) {
      return Either.right(head);
    }
    boolean allowed =
        AccessPolicy.authorize(olderCopy.get(), request)
            .exists(older -> older.customer().equals(head.customer()));
    return allowed
        ? Either.right(head)
        : Either.left(
            Failure.of(
                ResultCode.CONFIGURATION_UNCONFIRMED, "the store has lost the configuration"));
  }
}
