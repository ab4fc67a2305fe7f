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
 * @param charge what it was charged to its customer; none if it was not charged
 */
public record AdmittedRequest(
    BackendServerId server,
    RequestId request,
    RequestKind kind,
    long admittedNanos,
    Option<RunCharge> charge) {}
