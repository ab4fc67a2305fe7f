package org.clementinepost.kernel;

/** What became of a message that was sent to a task. */
public enum Delivery {
  /** The message stands in the mailbox. */
  ACCEPTED,
  /** The mailbox is full; the message is dropped and the sender decides what to do. */
  FULL,
  /** The task has stopped, or no service has the name. */
  STOPPED;

  /** Whether the message stands in the mailbox. */
  public boolean accepted() {
    return this == ACCEPTED;
  }
}
