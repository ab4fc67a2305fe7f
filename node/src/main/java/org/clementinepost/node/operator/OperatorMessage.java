package org.clementinepost.node.operator;

import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.config.Snapshot;
import org.clementinepost.kernel.Reply;

/** What the operator service is told. */
public sealed interface OperatorMessage {
  /** A configuration has come into force. */
  record Configured(Snapshot snapshot) implements OperatorMessage {}

  /** The fleet has changed. */
  record MembersChanged(Vector<Member> others) implements OperatorMessage {}

  /** The node has begun to stop. */
  record Stopping() implements OperatorMessage {}

  /** Asks for the node's state. */
  record GetStatus(Reply<NodeStatus> reply) implements OperatorMessage {}

  /** Asks for the port that was opened. */
  record GetPort(Reply<Integer> reply) implements OperatorMessage {}
}
