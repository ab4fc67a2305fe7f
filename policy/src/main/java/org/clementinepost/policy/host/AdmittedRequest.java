package org.clementinepost.policy.host;

import io.vavr.control.Option;
import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.RequestId;

/**
 * A request in flight at a backend server of this host.
 *
 * @param server the backend server
 * @param request the id of the request
 * @param kind the kind of the request
 * @param admittedNanos when it was admitted
 * @param maxHeldNanos the time for which it may hold its slot
 * @param charge what it was charged to its customer; none if it was not charged
 */
public record AdmittedRequest(
    BackendServerId server,
    RequestId request,
    RequestKind kind,
    long admittedNanos,
    long maxHeldNanos,
    Option<RunCharge> charge) {
  boolean isExpired(long nowNanos) {
    return nowNanos - admittedNanos >= maxHeldNanos;
  }
}
