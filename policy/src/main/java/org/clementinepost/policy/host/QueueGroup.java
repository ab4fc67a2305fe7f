package org.clementinepost.policy.host;

/** What the response of a waiting request can still be. */
public enum QueueGroup {
  /** The response can meet the target latency. */
  IN_TIME,
  /** The response will miss the target latency but arrive before the deadline. */
  LATE,
  /** No response can arrive before the deadline. */
  HOPELESS
}
