package org.clementinepost.testing.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a backend server behaves, independent of the state that it announces. */
public enum HealthMode {
  /** It responds normally, and returns to serving if it was draining but not stopping. */
  @JsonProperty("healthy")
  HEALTHY,
  /** It responds late. */
  @JsonProperty("slow")
  SLOW,
  /** It responds with status 500. */
  @JsonProperty("wrong")
  WRONG,
  /** It accepts requests and never responds. */
  @JsonProperty("frozen")
  FROZEN,
  /** It enters a cold start without announcing it; the current mode does not change. */
  @JsonProperty("cold")
  COLD,
  /** It drains as on a signal, but does not stop; the current mode does not change. */
  @JsonProperty("draining")
  DRAINING
}
