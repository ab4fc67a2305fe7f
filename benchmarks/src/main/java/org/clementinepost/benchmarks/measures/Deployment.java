package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;

/**
 * The topology and size of a simulated deployment.
 *
 * @param name the name of the deployment
 * @param domains the failure domains, to which nodes are assigned in turn
 * @param services the services and their numbers of backend servers
 * @param slotsPerServer the number of requests that each backend server handles at once
 * @param crossDomainLatencyMicros the one-way network latency between two failure domains
 * @param customerCount the number of customers, of which the first two are large
 */
record Deployment(
    String name,
    Vector<FailureDomainId> domains,
    Vector<ServiceSize> services,
    int slotsPerServer,
    long crossDomainLatencyMicros,
    int customerCount) {

  /** A service and the number of its backend servers. */
  record ServiceSize(ServiceId service, int serverCount) {}

  static final Deployment BLUE_MAHOE =
      new Deployment(
          "blue-mahoe",
          Vector.of("kgn-a", "kgn-b", "spn-c").map(FailureDomainId::new),
          Vector.of(
              newServiceSize("expiry-desk", 9),
              newServiceSize("swap-office", 12),
              newServiceSize("inspection-vault", 6)),
          5,
          1_000,
          8);

  static final Deployment MSHONO =
      new Deployment(
          "mshono",
          Vector.of("nairobi-a", "kisumu-b", "eldoret-c").map(FailureDomainId::new),
          Vector.of(
              newServiceSize("tracker", 9),
              newServiceSize("bookings", 12),
              newServiceSize("quotes", 6)),
          7,
          1_500,
          8);

  static final Vector<Deployment> ALL = Vector.of(BLUE_MAHOE, MSHONO);

  private static ServiceSize newServiceSize(String service, int serverCount) {
    return new ServiceSize(new ServiceId(service), serverCount);
  }

  /** Returns the number of nodes: one runs on the VM of every backend server. */
  int nodeCount() {
    return services.map(ServiceSize::serverCount).sum().intValue();
  }

  FailureDomainId domainOf(int nodeIndex) {
    return domains.get(nodeIndex % domains.size());
  }
}
