package org.clementinepost.policy.host;

import org.clementinepost.api.BackendServerId;

/**
 * A request in flight at a backend server of this host.
 *
 * @param server the backend server
 * @param kind the kind of the request
 * @param admittedNanos when it was admitted
 */
record AdmittedRequest(BackendServerId server, RequestKind kind, long admittedNanos) {}
