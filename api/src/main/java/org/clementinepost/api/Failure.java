package org.clementinepost.api;

import java.util.Objects;

/** A result code with details of one occurrence. */
public record Failure(ResultCode code, String detail) {
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Creates a failure without details. */
  public static Failure of(ResultCode code) {
    return new Failure(code, "");
  }

  /** Creates a failure with details for readers of the log or the response. */
  public static Failure of(ResultCode code, String detail) {
    return new Failure(code, detail);
  }

  /** Returns whether a backend server ran the request that failed. */
  public RunState runState() {
    return code.runState();
  }
}
