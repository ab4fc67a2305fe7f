package org.clementinepost.kernel;

/** The result of sending a message to a task. */
public enum Delivery {
  /** The message is in the mailbox. */
  ACCEPTED,
  /** The mailbox is full and the message is dropped; the sender decides how to handle this. */
  FULL,
  /** The task has stopped, or there is no service with the name. */
  STOPPED;

  /** Returns whether the message is in the mailbox. */
  public boolean accepted() {
    return this == ACCEPTED;
  }
}
