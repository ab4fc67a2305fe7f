package org.clementinepost.node;

/**
 * The ports that a node has opened.
 *
 * @param node the node's name
 * @param ingress the port for callers
 * @param operator the port for operators
 * @param announce the port for backend servers' announcements
 * @param peer the port for other nodes
 */
public record NodePorts(String node, int ingress, int operator, int announce, int peer) {}
