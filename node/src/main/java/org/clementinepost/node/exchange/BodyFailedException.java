package org.clementinepost.node.exchange;

import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** Ends a body that is not whole. */
public final class BodyFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  public BodyFailedException(Failure failure) {
    super(failure.code().number() + " " + failure.detail(), null, false, false);
    this.failure = failure;
  }

  /** Why a body that ended with an error is not whole. */
  public static Failure failureOf(Throwable error) {
    return error instanceof BodyFailedException failed
        ? failed.failure()
        : Failure.of(ResultCode.BACKEND_ANSWER_LOST, String.valueOf(error.getMessage()));
  }

  /** Why the body is not whole. */
  public Failure failure() {
    return failure;
  }
}
