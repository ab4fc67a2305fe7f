package org.clementinepost.node.directory;

import io.vavr.collection.Map;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;

/**
 * The row of a node with the version at which it was written.
 *
 * @param row the row
 * @param version the version of the table at which it was written
 */
record VersionedNodeRow(NodeRow row, long version) {
  /**
   * Returns the rows of nodes that still have their address. The row of a node that has ended
   * without a word stays in the table; once another node has written its row with the same address,
   * or this node itself has that address, it is out of date.
   *
   * @param rows the rows of the other nodes
   * @param ownAddress the address of this node
   */
  static Map<NodeId, VersionedNodeRow> withoutReplaced(
      Map<NodeId, VersionedNodeRow> rows, NetworkAddress ownAddress) {
    Map<NetworkAddress, Long> lastVersions =
        rows.values()
            .groupBy(VersionedNodeRow::address)
            .mapValues(same -> same.map(VersionedNodeRow::version).max().get());
    return rows.filterValues(
        node ->
            !node.address().equals(ownAddress)
                && node.version() == lastVersions.get(node.address()).get());
  }

  private NetworkAddress address() {
    return row.member().peerAddress();
  }
}
