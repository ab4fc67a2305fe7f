package org.clementinepost.api.config;

import org.clementinepost.api.FailureDomainId;

/**
 * A failure domain and whether it is in service.
 *
 * @param id the name of the failure domain
 * @param region the region that it belongs to
 * @param inService whether requests are sent to its backend servers; false while an operator has
 *     taken it out of service
 */
public record FailureDomain(FailureDomainId id, String region, boolean inService)
    implements ConfigurationObject {
  @Override
  public ObjectKind kind() {
    return ObjectKind.FAILURE_DOMAIN;
  }

  @Override
  public String name() {
    return id.value();
  }
}
