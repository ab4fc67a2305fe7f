package org.clementinepost.kernel;

/** Where messages to a task are sent. */
@FunctionalInterface
public interface Address<M> {
  /** Sends a message without waiting. */
  Delivery send(M message);
}
