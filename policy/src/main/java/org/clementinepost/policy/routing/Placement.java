package org.clementinepost.policy.routing;

import org.clementinepost.api.Endpoint;

/**
 * Where an attempt goes.
 *
 * @param endpoint the backend server
 * @param patienceMillis how long its answer is waited for before the next attempt; never beyond the
 *     deadline
 */
public record Placement(Endpoint endpoint, long patienceMillis) {}
