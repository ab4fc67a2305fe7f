package org.clementinepost.node.operator;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.clementinepost.api.Member;

/**
 * The state of a node as reported to operators.
 *
 * @param self the node
 * @param configurationVersion the version of the active configuration; zero before the first one
 * @param otherNodes the number of other nodes that it knows
 * @param stopping whether the node has begun to stop
 */
public record NodeStatus(Member self, long configurationVersion, int otherNodes, boolean stopping) {
  private static final ObjectMapper MAPPER = new ObjectMapper();

  /** Whether the node is ready for callers' requests. */
  public boolean isReady() {
    return configurationVersion > 0 && !stopping;
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
        .put("ready", isReady())
        .toString();
  }
}
