package org.clementinepost.node;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;

/**
 * The ports that a node listens on.
 *
 * @param node the node's name
 * @param ingress the port for callers
 * @param operator the port for operators
 * @param announce the port for announcements of backend servers
 * @param peer the port for other nodes
 */
public record NodePorts(String node, int ingress, int operator, int announce, int peer) {
  /**
   * Returns the ports as one JSON object; builds it without an object mapper, which would slow down
   * the start.
   */
  String toJson() {
    return JsonNodeFactory.instance
        .objectNode()
        .put("node", node)
        .put("ingress", ingress)
        .put("operator", operator)
        .put("announce", announce)
        .put("peer", peer)
        .toString();
  }
}
