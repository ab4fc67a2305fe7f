package org.clementinepost.testing.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a backend server behaves, whatever it announces. */
public enum HealthMode {
  /** It answers as it should, and serves again after an order to drain. */
  @JsonProperty("healthy")
  HEALTHY,
  /** It answers late. */
  @JsonProperty("slow")
  SLOW,
  /** It answers 500. */
  @JsonProperty("wrong")
  WRONG,
  /** It takes requests and never answers. */
  @JsonProperty("frozen")
  FROZEN,
  /** It falls back into a cold start without a word; its mode stays what it was. */
  @JsonProperty("cold")
  COLD,
  /** It drains, as on a signal to stop, but does not leave. */
  @JsonProperty("draining")
  DRAINING
}
