package org.clementinepost.node.configuration;

/**
 * The time as of which the active configuration was last confirmed to be the newest.
 *
 * @param atNanos the time, by a clock that advances while the machine is suspended
 */
public record Confirmation(long atNanos) {
  /** Returns a confirmation that is older than any real one. */
  public static Confirmation never() {
    return new Confirmation(Long.MIN_VALUE / 2);
  }
}
