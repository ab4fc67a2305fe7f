package org.clementinepost.policy.host;

import org.clementinepost.api.BackendServerId;
import org.clementinepost.api.NetworkAddress;

/**
 * Leave to send one request to a backend server.
 *
 * @param id tells the admissions of a host apart
 * @param server the backend server
 * @param address where it takes requests
 */
public record Admission(long id, BackendServerId server, NetworkAddress address) {}
