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
 * @param slots the slots of each backend server
 * @param crossDomainMicros the one-way time between two failure domains
 * @param customers its customers; the first two are large
 */
record Deployment(
    String name,
    Vector<FailureDomainId> domains,
    Vector<ServiceSize> services,
    int slots,
    long crossDomainMicros,
    int customers) {

  /** The number of backend servers of a service. */
  record ServiceSize(ServiceId service, int servers) {}

  static final Deployment BLUE_MAHOE =
      new Deployment(
          "blue-mahoe",
          Vector.of("kgn-a", "kgn-b", "spn-c").map(FailureDomainId::new),
          Vector.of(size("expiry-desk", 9), size("swap-office", 12), size("inspection-vault", 6)),
          5,
          1_000,
          8);

  static final Deployment MSHONO =
      new Deployment(
          "mshono",
          Vector.of("nairobi-a", "kisumu-b", "eldoret-c").map(FailureDomainId::new),
          Vector.of(size("tracker", 9), size("bookings", 12), size("quotes", 6)),
          7,
          1_500,
          8);

  static final Vector<Deployment> ALL = Vector.of(BLUE_MAHOE, MSHONO);

  private static ServiceSize size(String service, int servers) {
    return new ServiceSize(new ServiceId(service), servers);
  }

  /** Every backend server VM carries a node. */
  int nodes() {
    return services.map(ServiceSize::servers).sum().intValue();
  }

  FailureDomainId domainOf(int node) {
    return domains.get(node % domains.size());
  }
}
