package org.clementinepost.node.operator;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;

/** A message to the {@link OperatorService}. */
public sealed interface OperatorMessage {
  /** A new configuration has taken effect. */
  record Configured(Snapshot snapshot) implements OperatorMessage {}

  /** The other nodes of the fleet have changed. */
  record MembersChanged(Vector<Member> others) implements OperatorMessage {}

  /** This node has begun to stop. */
  record Stopping() implements OperatorMessage {}

  /**
   * The set of tasks that process no messages has changed.
   *
   * @param tasks the names of all stalled tasks
   */
  record StalledTasksChanged(Vector<String> tasks) implements OperatorMessage {}

  /** Requests the node's status. */
  record GetStatus(Reply<NodeStatus> reply) implements OperatorMessage {}

  /** Requests the port that the service listens on. */
  record GetPort(Reply<Integer> reply) implements OperatorMessage {}
}
