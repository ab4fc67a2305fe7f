package org.clementinepost.api;

import java.util.Objects;

/** A numbered error with the detail of this one case. */
public record Failure(ResultCode code, String detail) {
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
  }

  /** Creates a failure that the code alone explains. */
  public static Failure of(ResultCode code) {
    return new Failure(code, "");
  }

  /** Creates a failure with a detail for the reader of a log or an answer. */
  public static Failure of(ResultCode code, String detail) {
    return new Failure(code, detail);
  }

  /** Whether the request that met this failure has run. */
  public RunState runState() {
    return code.runState();
  }
}
