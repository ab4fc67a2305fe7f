package org.clementinepost.api;

/**
 * One node as the others know it.
 *
 * @param node the node's name
 * @param incarnation grows at each start of the node
 * @param peerAddress where it takes connections of other nodes
 * @param domain the failure domain that it runs in
 */
public record Member(
    NodeId node, long incarnation, NetworkAddress peerAddress, FailureDomainId domain) {}
