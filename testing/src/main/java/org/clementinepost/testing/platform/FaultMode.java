package org.clementinepost.testing.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How the platform fails. */
public enum FaultMode {
  /** It works. */
  @JsonProperty("none")
  NONE,
  /** It closes the connection and does nothing. */
  @JsonProperty("refuse")
  REFUSE,
  /** It does nothing and never answers. */
  @JsonProperty("hang")
  HANG,
  /** It does what was asked, and cuts the answer. */
  @JsonProperty("lose-replies")
  LOSE_REPLIES,
  /** It waits before it does what was asked. */
  @JsonProperty("slow")
  SLOW,
  /** It refuses the load. */
  @JsonProperty("throttle")
  THROTTLE
}
