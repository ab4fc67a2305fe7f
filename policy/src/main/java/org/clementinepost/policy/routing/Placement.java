package org.clementinepost.policy.routing;

import io.vavr.control.Option;
import org.clementinepost.api.AdmissionMode;
import org.clementinepost.api.Endpoint;

/**
 * The backend server chosen for an attempt.
 *
 * @param endpoint the endpoint of the backend server
 * @param admissionMode the admission mode of the attempt; none if the request keeps its own
 * @param secondAttemptAfterMillis the time after which a second attempt is sent to another server
 *     if there is no response; none if there is to be no second attempt
 */
public record Placement(
    Endpoint endpoint, Option<AdmissionMode> admissionMode, Option<Long> secondAttemptAfterMillis) {
  /** Creates a placement of a request that keeps its admission mode and gets no second attempt. */
  public Placement(Endpoint endpoint) {
    this(endpoint, Option.none());
  }

  /** Creates a placement in an admission mode, without a second attempt. */
  Placement(Endpoint endpoint, Option<AdmissionMode> admissionMode) {
    this(endpoint, admissionMode, Option.none());
  }
}
