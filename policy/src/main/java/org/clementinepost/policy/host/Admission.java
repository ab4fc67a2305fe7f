package org.clementinepost.policy.host;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NetworkAddress;

/**
 * Permission to send one request to a backend server.
 *
 * @param id unique within the host
 * @param server the backend server
 * @param address the address at which it accepts requests
 */
public record Admission(long id, BackendServerId server, NetworkAddress address) {}
