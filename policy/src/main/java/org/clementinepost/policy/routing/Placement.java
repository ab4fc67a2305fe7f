package org.clementinepost.policy.routing;

import org.clementinepost.api.Endpoint;

/**
 * The backend server chosen for an attempt.
 *
 * @param endpoint the endpoint of the backend server
 */
public record Placement(Endpoint endpoint) {}
