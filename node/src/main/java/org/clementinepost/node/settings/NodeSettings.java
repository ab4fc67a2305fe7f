package org.clementinepost.node.settings;

import io.vavr.control.Option;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.NetworkAddress;
import org.clementinepost.api.NodeId;
import org.clementinepost.api.ServiceId;
import org.clementinepost.policy.quota.EmergencyAllowance;
import org.clementinepost.policy.routing.RetryBound;
import org.clementinepost.storage.PlatformSettings;

/**
 * The settings of a node, as read from its settings file.
 *
 * @param node the node's name
 * @param domain the failure domain of the node
 * @param ingress the address at which the node accepts callers' requests
 * @param peer the address at which the node accepts connections of other nodes
 * @param announce the address at which backend servers announce themselves
 * @param operator the address at which operators read health, status and metrics
 * @param platform the table service and object store; none with an embedded platform or a row store
 * @param embeddedObjectsFolder the folder of the configuration objects that an embedded platform
 *     starts with
 * @param rowStore the address of the row store; none with other platforms
 * @param localService the service that runs on this VM
 * @param localServer the address of the backend server on this VM
 * @param keyWithdrawalMillis the time after which a withdrawn key is rejected at every node; zero
 *     sets no limit
 * @param quotaTolerance by how much the fleet may exceed a customer's rate and burst
 * @param retryBound the retries that the fleet may add to the load of a service
 * @param shutdownDelayMillis how long a stopping node still accepts callers' requests
 * @param connectionsPerServer the maximum number of connections to one backend server
 * @param edgeLimits the limits on callers' requests and connections
 * @param stopGraceMillis how long the platform waits after SIGTERM before it kills the process
 * @param load the settings for load management
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
    RetryBound retryBound,
    long shutdownDelayMillis,
    int connectionsPerServer,
    EdgeLimits edgeLimits,
    long stopGraceMillis,
    LoadSettings load) {

  /**
   * The limits on callers' requests and connections.
   *
   * @param maxHeaderBytes the maximum size of a request's header fields
   * @param maxBodyBytes the maximum size of a request's body
   * @param idleTimeoutMillis how long a connection may be idle between requests
   * @param readTimeoutMillis how long a caller may send nothing within a request
   */
  public record EdgeLimits(
      int maxHeaderBytes, long maxBodyBytes, long idleTimeoutMillis, long readTimeoutMillis) {}
}
