package org.clementinepost.kernel;

/** The address of a task, to which messages are sent. */
@FunctionalInterface
public interface Address<M> {
  /** Sends a message without blocking. */
  Delivery send(M message);
}
