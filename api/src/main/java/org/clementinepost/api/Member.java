package org.clementinepost.api;

/**
 * A node of the fleet as the other nodes know it.
 *
 * @param node the name of the node
 * @param incarnation a number that increases with each start of the node
 * @param peerAddress the address on which it accepts connections from other nodes
 * @param domain the failure domain that it runs in
 */
public record Member(
    NodeId node, long incarnation, NetworkAddress peerAddress, FailureDomainId domain) {}
