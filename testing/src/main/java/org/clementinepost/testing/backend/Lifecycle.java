package org.clementinepost.testing.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The lifecycle state that a backend server announces. */
public enum Lifecycle {
  @JsonProperty("serving")
  SERVING,
  @JsonProperty("draining")
  DRAINING,
  @JsonProperty("gone")
  GONE
}
