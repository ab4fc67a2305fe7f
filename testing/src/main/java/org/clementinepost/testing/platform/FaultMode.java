package org.clementinepost.testing.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How the platform stand-in fails requests. */
public enum FaultMode {
  /** Requests are executed and answered normally. */
  @JsonProperty("none")
  NONE,
  /** The connection is closed and nothing is executed. */
  @JsonProperty("refuse")
  REFUSE,
  /** Nothing is executed and no response is sent. */
  @JsonProperty("hang")
  HANG,
  /** The request is executed, and the connection is closed without a response. */
  @JsonProperty("lose-replies")
  LOSE_REPLIES,
  /** The request is executed after a delay. */
  @JsonProperty("slow")
  SLOW,
  /** The request is rejected with a throttling error. */
  @JsonProperty("throttle")
  THROTTLE
}
