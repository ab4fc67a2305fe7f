package org.clementinepost.benchmarks.measures;

import io.vavr.control.Option;
import java.util.concurrent.TimeUnit;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ResultCode;

/** Result of an attempt: a failure, or the status of the response, and the host's health report. */
record AttemptResult(Option<Failure> failure, int status, long serverMicros, HostReport report) {
  static final int OK_STATUS = 200;
  static final int ERROR_STATUS = 500;

  static AttemptResult ofFailure(ResultCode code) {
    return new AttemptResult(Option.some(Failure.of(code)), 0, 0, HostReport.HEALTHY);
  }

  static AttemptResult ofTimeout(long elapsedNanos) {
    return new AttemptResult(
        Option.some(Failure.of(ResultCode.BACKEND_TIMED_OUT)),
        0,
        TimeUnit.NANOSECONDS.toMicros(elapsedNanos),
        HostReport.HEALTHY);
  }

  static AttemptResult ofResponse(int status, long serverMicros) {
    return new AttemptResult(Option.none(), status, serverMicros, HostReport.HEALTHY);
  }

  AttemptResult withReport(HostReport newReport) {
    return new AttemptResult(failure, status, serverMicros, newReport);
  }

  boolean isSuccess() {
    return failure.isEmpty() && status == OK_STATUS;
  }
}
