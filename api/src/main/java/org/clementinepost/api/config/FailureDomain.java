package org.clementinepost.api.config;

import org.clementinepost.api.FailureDomainId;

/**
 * A failure domain and whether it takes work.
 *
 * @param id the failure domain's name
 * @param region the region that it belongs to
 * @param inService false while the domain is taken out
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
