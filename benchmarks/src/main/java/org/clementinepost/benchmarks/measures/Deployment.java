package org.clementinepost.benchmarks.measures;

import io.vavr.collection.Vector;
import org.clementinepost.api.FailureDomainId;
import org.clementinepost.api.ServiceId;

/**
 * The size of one deployment.
 *
 * @param name its name
 * @param domains its failure domains
 * @param services its services
 * @param slotsPerServer the slots of each backend server
 * @param crossDomainLatencyMicros the one-way time between two failure domains
 * @param customerCount its customers; the first two are large
 */
record Deployment(
    String name,
    Vector<FailureDomainId> domains,
    Vector<ServiceSize> services,
    int slotsPerServer,
    long crossDomainLatencyMicros,
    int customerCount) {

  /** The number of backend servers of a service. */
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

  /** Every backend server VM carries a node. */
  int nodeCount() {
    return services.map(ServiceSize::serverCount).sum().intValue();
  }

  FailureDomainId domainOf(int nodeIndex) {
    return domains.get(nodeIndex % domains.size());
  }
}
