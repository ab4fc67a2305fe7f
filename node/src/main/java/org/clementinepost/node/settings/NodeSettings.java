package org.clementinepost.node.settings;

import io.vavr.control.Option;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.storage.PlatformSettings;

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
 * @param embeddedObjectsFolder the objects that a platform kept in memory starts with
 * @param rowStore where the store of a platform with its own dialect is
 * @param localService the service that runs on this VM
 * @param localServer where the backend server of this VM takes requests
 * @param keyWithdrawalMillis when a withdrawn key opens nothing any more; zero sets no limit
 * @param quotaTolerance how far the fleet may exceed a customer's rate and burst
 * @param shutdownDelayMillis how long a stopping node goes on taking callers
 * @param connectionsPerServer connections that it opens to one backend server
 * @param edgeLimits the limits at the callers' port
 * @param stopGraceMillis what the platform waits after SIGTERM before it kills the process
 */
public record NodeSettings(
    NodeId node,
    FailureDomainId domain,
    NetworkAddress ingress,
    NetworkAddress peer,
    NetworkAddress announce,
    NetworkAddress operator,
    Option<PlatformSettings> platform,
    Option<String> embeddedObjectsFolder,
    Option<NetworkAddress> rowStore,
    Option<ServiceId> localService,
    Option<NetworkAddress> localServer,
    long keyWithdrawalMillis,
    EmergencyAllowance quotaTolerance,
    long shutdownDelayMillis,
    int connectionsPerServer,
    EdgeLimits edgeLimits,
    long stopGraceMillis) {

  /**
   * The limits at the callers' port.
   *
   * @param maxHeaderBytes the size of a request's header fields
   * @param maxBodyBytes the size of a request's body
   * @param idleTimeoutMillis how long a connection may rest between requests
   * @param readTimeoutMillis how long a caller may send nothing within a request
   */
  public record EdgeLimits(
      int maxHeaderBytes, long maxBodyBytes, long idleTimeoutMillis, long readTimeoutMillis) {}
}
