package org.clementinepost.node.settings;

import io.vavr.control.Option;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;

/**
 * What a node is told at its start.
 *
 * @param node the node's name
 * @param domain the failure domain that it runs in
 * @param ingress where it takes callers' requests
 * @param peer where it takes connections of other nodes
 * @param announce where backend servers announce themselves
 * @param operator where operators read its health and metrics
 * @param platform where the platform is; none runs on a platform kept in memory
 * @param connectionsPerServer connections that it opens to one backend server
 */
public record NodeSettings(
    NodeId node,
    FailureDomainId domain,
    NetworkAddress ingress,
    NetworkAddress peer,
    NetworkAddress announce,
    NetworkAddress operator,
    Option<PlatformAddress> platform,
    int connectionsPerServer) {

  /**
   * Where the platform is.
   *
   * @param tableUrl the table service
   * @param objectsUrl the object store
   */
  public record PlatformAddress(String tableUrl, String objectsUrl) {}
}
