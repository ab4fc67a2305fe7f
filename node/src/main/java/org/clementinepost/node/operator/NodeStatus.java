package org.clementinepost.node.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;

/**
 * The state of a node as reported to operators.
 *
 * @param self the node
 * @param configurationVersion the version of the active configuration; zero before the first one
 * @param otherNodes the number of other nodes that it knows
 * @param stopping whether the node has begun to stop
 * @param stalledTasks the names of the tasks that process no messages
 */
public record NodeStatus(
    Member self,
    long configurationVersion,
    int otherNodes,
    boolean stopping,
    Vector<String> stalledTasks) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Returns the status of a node that has just started. */
  static NodeStatus atStart(Member self) {
    return new NodeStatus(self, 0, 0, false, Vector.empty());
  }

  NodeStatus withConfigurationVersion(long version) {
    return new NodeStatus(self, version, otherNodes, stopping, stalledTasks);
  }

  NodeStatus withOtherNodes(int count) {
    return new NodeStatus(self, configurationVersion, count, stopping, stalledTasks);
  }

  NodeStatus asStopping() {
    return new NodeStatus(self, configurationVersion, otherNodes, true, stalledTasks);
  }

  NodeStatus withStalledTasks(Vector<String> tasks) {
    return new NodeStatus(self, configurationVersion, otherNodes, stopping, tasks);
  }

  /** Whether the node is ready for callers' requests. */
  public boolean isReady() {
    return configurationVersion > 0 && !stopping && stalledTasks.isEmpty();
  }

  String toJson() {
    return MAPPER
        .createObjectNode()
        .put("node", self.node().value())
        .put("incarnation", self.incarnation())
        .put("failureDomain", self.domain().value())
        .put("peerAddress", self.peerAddress().toString())
        .put("configurationVersion", configurationVersion)
        .put("otherNodes", otherNodes)
        .put("stopping", stopping)
        .put("stalledTasks", stalledTasks.mkString(","))
        .put("ready", isReady())
        .toString();
  }
}
