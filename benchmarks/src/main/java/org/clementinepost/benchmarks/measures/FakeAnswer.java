package org.clementinepost.benchmarks.measures;

import io.vavr.control.Option;
import org.clementinepost.api.Failure;
import org.clementinepost.api.HostReport;
import org.clementinepost.api.ResultCode;

/** What an attempt gave. */
record FakeAnswer(Option<Failure> failure, int status, long serverMicros, HostReport report) {
  static final int OK_STATUS = 200;
  static final int ERROR_STATUS = 500;

  static FakeAnswer failed(ResultCode code) {
    return new FakeAnswer(Option.some(Failure.of(code)), 0, 0, HostReport.HEALTHY);
  }

  static FakeAnswer answered(int status, long serverMicros) {
    return new FakeAnswer(Option.none(), status, serverMicros, HostReport.HEALTHY);
  }

  FakeAnswer with(HostReport next) {
    return new FakeAnswer(failure, status, serverMicros, next);
  }

  boolean good() {
    return failure.isEmpty() && status == OK_STATUS;
  }
}
