package org.clementinepost.kernel;

import java.util.function.Function;

/**
 * A kernel service before it is started.
 *
 * @param name the name by which others find it
 * @param mailboxCapacity messages that may wait; a sender is told when the mailbox is full
 * @param factory makes the task's behaviour when the service starts
 */
public record ServiceDefinition<M>(
    ServiceName<M> name, int mailboxCapacity, Function<TaskContext<M>, Behaviour<M>> factory) {

  /** A mailbox for services that get a few messages a second. */
  public static final int CONTROL_MAILBOX_MESSAGES = 4_096;

  /** A mailbox for services that get several messages a request. */
  public static final int TRAFFIC_MAILBOX_MESSAGES = 65_536;
}
