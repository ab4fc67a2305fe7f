package org.clementinepost.policy.host;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.config.Snapshot;

/**
 * What a host knows of the backend servers behind it.
 *
 * @param servers the backend servers that have announced themselves
 * @param admissions the backend server of each admission that has not ended
 * @param nextAdmission the number of the next admission
 * @param snapshot the configuration in force
 */
public record HostState(
    Map<BackendServerId, HostedServer> servers,
    Map<Long, BackendServerId> admissions,
    long nextAdmission,
    Snapshot snapshot) {

  /** The state of a host that has just started. */
  public static HostState empty() {
    return new HostState(HashMap.empty(), HashMap.empty(), 1, Snapshot.empty());
  }

  HostState withServer(HostedServer server) {
    return new HostState(
        servers.put(server.announcement().server(), server), admissions, nextAdmission, snapshot);
  }

  HostState withServers(Map<BackendServerId, HostedServer> next) {
    return new HostState(next, admissions, nextAdmission, snapshot);
  }

  HostState withSnapshot(Snapshot next) {
    return new HostState(servers, admissions, nextAdmission, next);
  }
}
