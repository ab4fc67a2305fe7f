package org.clementinepost.testing.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a backend server announces of itself. */
public enum Lifecycle {
  @JsonProperty("serving")
  SERVING,
  @JsonProperty("draining")
  DRAINING,
  @JsonProperty("gone")
  GONE
}
