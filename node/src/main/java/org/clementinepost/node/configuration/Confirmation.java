package org.clementinepost.node.configuration;

/**
 * A confirmation that the active configuration was the newest one at a given time.
 *
 * @param atNanos the time, by a clock that advances while the VM is suspended
 */
public record Confirmation(long atNanos) {
  /** Returns the later one of two confirmations. */
  public Confirmation orLater(Confirmation other) {
    return other.atNanos > atNanos ? other : this;
  }

  /** Returns a confirmation that is older than any real one. */
  public static Confirmation never() {
    return new Confirmation(Long.MIN_VALUE / 2);
  }
}
