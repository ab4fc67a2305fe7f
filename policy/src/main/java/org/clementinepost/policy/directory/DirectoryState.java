package org.clementinepost.policy.directory;

import io.vavr.collection.HashMap;
import io.vavr.collection.Map;
import io.vavr.collection.Vector;
import org.clementinepost.api.Member;
import org.clementinepost.api.ServiceId;

/**
 * What a node knows of backend servers in its three parts: as host, as directory node, as ingress.
 *
 * @param self this node
 * @param fleet the live nodes
 * @param hosted the services that this node has backend servers of
 * @param sequence counts this node's publications
 * @param held the services that this node holds for others
 * @param version counts the subsets that this node has sent
 * @param learned the services that this node's requests need
 */
public record DirectoryState(
    Member self,
    Fleet fleet,
    Map<ServiceId, HostedService> hosted,
    long sequence,
    Map<ServiceId, HeldService> held,
    long version,
    Map<ServiceId, LearnedService> learned) {

  /** The state of a node that has just started and knows of no other. */
  public static DirectoryState of(Member self) {
    return new DirectoryState(
        self, Fleet.of(Vector.of(self)), HashMap.empty(), 0, HashMap.empty(), 0, HashMap.empty());
  }

  DirectoryState withFleet(Fleet next) {
    return new DirectoryState(self, next, hosted, sequence, held, version, learned);
  }

  DirectoryState withHosted(Map<ServiceId, HostedService> next, long nextSequence) {
    return new DirectoryState(self, fleet, next, nextSequence, held, version, learned);
  }

  DirectoryState withHeld(ServiceId service, HeldService next) {
    return new DirectoryState(
        self, fleet, hosted, sequence, held.put(service, next), version, learned);
  }

  DirectoryState withoutHeld(ServiceId service) {
    return new DirectoryState(
        self, fleet, hosted, sequence, held.remove(service), version, learned);
  }

  DirectoryState withVersion(long next) {
    return new DirectoryState(self, fleet, hosted, sequence, held, next, learned);
  }

  DirectoryState withLearned(ServiceId service, LearnedService next) {
    return new DirectoryState(
        self, fleet, hosted, sequence, held, version, learned.put(service, next));
  }

  DirectoryState withoutLearned(ServiceId service) {
    return new DirectoryState(
        self, fleet, hosted, sequence, held, version, learned.remove(service));
  }
}
