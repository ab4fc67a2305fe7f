package org.clementinepost.node.settings;

/**
 * The settings for load management, all of them off by default.
 *
 * @param queries whether hosts are asked for their load before a request is placed
 * @param fairQueue whether the queue of a host gives each customer its fair share and serves
 *     requests that will be late
 * @param secondAttempts whether slow requests get a second attempt, and slowness is judged by kind
 *     of request
 * @param maxPipelinedRequests the requests of one connection that are processed at the same time
 */
public record LoadSettings(
    boolean queries, boolean fairQueue, boolean secondAttempts, int maxPipelinedRequests) {
  /** The settings with everything off. */
  public static final LoadSettings OFF = new LoadSettings(false, false, false, 1);
}
