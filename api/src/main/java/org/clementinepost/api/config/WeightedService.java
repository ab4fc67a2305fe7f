package org.clementinepost.api.config;

import org.clementinepost.api.ServiceId;

/**
 * A service's part of the requests of a route.
 *
 * @param service the service
 * @param weight its part, against the weights of the route's other parts
 */
public record WeightedService(ServiceId service, int weight) {}
