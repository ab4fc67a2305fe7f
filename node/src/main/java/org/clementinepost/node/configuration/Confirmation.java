package org.clementinepost.node.configuration;

/**
 * When the configuration in force was last known to be the newest.
 *
 * @param atNanos the time, by a clock that does not stand still while the machine is suspended
 */
public record Confirmation(long atNanos) {
  /** A time as long ago as any. */
  public static Confirmation never() {
    return new Confirmation(Long.MIN_VALUE / 2);
  }
}
