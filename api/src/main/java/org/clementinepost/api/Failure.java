package org.clementinepost.api;

import io.vavr.control.Option;
import java.util.Objects;

/**
 * A result code with details of one occurrence.
 *
 * @param code the result code
 * @param detail details for readers of the log or the response
 * @param retryAfterMillis when the request may be sent again, if that is known
 */
public record Failure(ResultCode code, String detail, Option<Long> retryAfterMillis) {
  public Failure {
    Objects.requireNonNull(code, "code");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(retryAfterMillis, "retryAfterMillis");
  }

  /** Creates a failure without details. */
  public static Failure of(ResultCode code) {
    return of(code, "");
  }

  /** Creates a failure with details for readers of the log or the response. */
  public static Failure of(ResultCode code, String detail) {
    return new Failure(code, detail, Option.none());
  }

  /** Returns this failure with the time after which the request may be sent again. */
  public Failure withRetryAfter(long millis) {
    return new Failure(code, detail, Option.some(millis));
  }

  /** Returns whether a backend server ran the request that failed. */
  public RunState runState() {
    return code.runState();
  }
}
