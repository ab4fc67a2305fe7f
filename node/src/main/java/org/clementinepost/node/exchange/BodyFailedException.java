package org.clementinepost.node.exchange;

import org.clementinepost.api.Failure;
import org.clementinepost.api.ResultCode;

/** The error with which an incomplete body ends. */
public final class BodyFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  public BodyFailedException(Failure failure) {
    super(failure.code().number() + " " + failure.detail(), null, false, false);
    this.failure = failure;
  }

  /** Returns the failure for the error that terminated a body. */
  public static Failure failureOf(Throwable error) {
    return error instanceof BodyFailedException failed
        ? failed.failure()
        : Failure.of(ResultCode.BACKEND_ANSWER_LOST, String.valueOf(error.getMessage()));
  }

  /** Returns why the body is incomplete. */
  public Failure failure() {
    return failure;
  }
}
