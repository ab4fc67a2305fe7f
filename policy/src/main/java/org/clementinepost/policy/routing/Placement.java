package org.clementinepost.policy.routing;

import org.clementinepost.api.Endpoint;

/**
 * Where an attempt goes.
 *
 * @param endpoint the backend server
 */
public record Placement(Endpoint endpoint) {}
