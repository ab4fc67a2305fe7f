package org.clementinepost.node.exchange;

import org.clementinepost.api.Failure;

/** Ends a body that is not whole. */
public final class BodyFailedException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient Failure failure;

  public BodyFailedException(Failure failure) {
    super(failure.code().number() + " " + failure.detail(), null, false, false);
    this.failure = failure;
  }

  /** Why the body is not whole. */
  public Failure failure() {
    return failure;
  }
}
