package org.clementinepost.kernel;

import java.util.function.Function;

/**
 * The name, mailbox capacity and behaviour of a kernel service.
 *
 * @param name the name by which other services find it
 * @param mailboxCapacity the maximum number of queued messages; further sends return {@link
 *     Delivery#FULL}
 * @param factory creates the behaviour of the task when the service starts
 */
public record ServiceDefinition<M>(
    ServiceName<M> name, int mailboxCapacity, Function<TaskContext<M>, Behaviour<M>> factory) {

  /** The mailbox capacity of services that receive a few messages per second. */
  public static final int CONTROL_MAILBOX_MESSAGES = 4_096;

  /** The mailbox capacity of services that receive several messages per request. */
  public static final int TRAFFIC_MAILBOX_MESSAGES = 65_536;
}
